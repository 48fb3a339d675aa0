package larchridge.inventory;

import larchridge.state.EndpointState;
import larchridge.state.Role;

/**
 * One engine of the engine list.
 *
 * @param id number of the engine, unique in the list
 * @param host host name or address
 * @param port TCP port
 * @param role which stages of a generation the engine serves: reading, writing or both
 * @param zone its zone; empty if not specified
 * @param rack number of its rack, or 0 if not specified
 * @param capacityUnits its capacity relative to the other engines of its role
 * @param memoryTokens its memory in tokens, or NaN if not specified
 * @param startMs start time of its process in milliseconds of Unix time, or 0 if not specified
 * @param state whether it accepts generations or is draining
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
    /** A copy with another start time. */
    public EngineEntry withStartMs(double otherStartMs) {
        return new EngineEntry(
                id, host, port, role, zone, rack, capacityUnits, memoryTokens, otherStartMs, state);
    }

    /** A copy with another state. */
    public EngineEntry withState(EndpointState otherState) {
        return new EngineEntry(
                id, host, port, role, zone, rack, capacityUnits, memoryTokens, startMs, otherState);
    }
}
