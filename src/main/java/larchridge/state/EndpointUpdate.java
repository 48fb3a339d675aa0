package larchridge.state;

/**
 * One entry of the endpoint list: an engine as it is from now on.
 *
 * @param startMs when its process started, or 0 where that is not known
 * @param units its weight beside others of its kind
 * @param rack its rack
 * @param memoryTokens tokens that it has memory for; NaN where that is not known
 */
public record EndpointUpdate(
        Engine engine,
        EndpointState state,
        double startMs,
        double units,
        String zone,
        long rack,
        Role role,
        double memoryTokens) {}
