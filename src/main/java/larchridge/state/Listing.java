package larchridge.state;

/** One entry of the engine list. */
public record Listing(
        Engine engine,
        Mode mode,
        double startMs,
        double units,
        String zone,
        long rack,
        Role role,
        double memoryToks) {}
