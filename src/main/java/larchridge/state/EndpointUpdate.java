package larchridge.state;

/**
 * One entry of the endpoint list: the current properties of an engine.
 *
 * @param startMs start time of the engine process; 0 if unknown
 * @param capacityWeight capacity relative to other engines of the same type
 * @param rack rack id, unique across zones
 * @param memoryTokens number of tokens that fit in the engine's memory; NaN if unknown
 */
public record EndpointUpdate(
        Engine engine,
        EndpointState state,
        double startMs,
        double capacityWeight,
        String zone,
        long rack,
        Role role,
        double memoryTokens) {}
