package larchridge.state;

/** One entry of the engine list. */
public record EndpointUpdate(
        Engine engine,
        EndpointState state,
        double startMs,
        double units,
        String zone,
        long rack,
        Role role,
        double memoryTokens) {}
