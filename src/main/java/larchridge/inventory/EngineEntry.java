package larchridge.inventory;

import larchridge.state.EndpointState;
import larchridge.state.Role;

/**
 * One engine as the list names it.
 *
 * @param startMs when its process started, milliseconds of Unix time, or 0 where the list does not
 *     tell
 * @param capacityUnits how much it can do beside others of its role
 * @param memoryTokens its memory in tokens, or NaN where the list does not tell
 */
public record EngineEntry(
        long id,
        String host,
        int port,
        Role role,
        String zone,
        long rack,
        double capacityUnits,
        double memoryTokens,
        double startMs,
        EndpointState state) {
    /** The same engine with another start time. */
    public EngineEntry withStartMs(double otherStartMs) {
        return new EngineEntry(
                id, host, port, role, zone, rack, capacityUnits, memoryTokens, otherStartMs, state);
    }

    /** The same engine in another mode. */
    public EngineEntry withState(EndpointState otherMode) {
        return new EngineEntry(
                id, host, port, role, zone, rack, capacityUnits, memoryTokens, startMs, otherMode);
    }
}
