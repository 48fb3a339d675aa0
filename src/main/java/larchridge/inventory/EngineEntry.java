package larchridge.inventory;

import larchridge.state.EndpointState;
import larchridge.state.Role;

/**
 * One engine of the list.
 *
 * @param id the engine's number, unique in the list
 * @param host host name or address
 * @param port TCP port
 * @param role what the engine does of a generation
 * @param zone where it runs; empty if the list does not say
 * @param rack the rack it stands in
 * @param capacityUnits its capacity relative to other engines of its role
 * @param memoryTokens its memory in tokens, or NaN where the list does not say
 * @param startMs when its process started, milliseconds of Unix time, or 0 where the list does not
 *     say
 * @param state whether it takes generations or is draining
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

    /** The same engine in another state. */
    public EngineEntry withState(EndpointState otherState) {
        return new EngineEntry(
                id, host, port, role, zone, rack, capacityUnits, memoryTokens, startMs, otherState);
    }
}
