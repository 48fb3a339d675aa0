package larchridge.simulatedengine;

import larchridge.state.Role;

/**
 * The capacity and speed of a simulated engine. The figures are invented for system tests; they
 * describe no real hardware.
 *
 * @param readTokensPerMs prompt tokens read per millisecond when warm
 * @param maxConcurrentReads number of prompts read concurrently
 * @param maxConcurrentStreams number of responses generated concurrently
 * @param queueCapacity maximum number of waiting attempts
 * @param tokenMs time between two tokens of a stream, in milliseconds
 * @param transferTokensPerMs speed at which a read state is transferred within the rack; transfers
 *     across racks and zones are slower
 * @param coldShare share of the full capacity right after a cold start
 * @param coldMs time from a cold start to full capacity
 * @param stateExpiryMs age at which a read state that was not fetched is dropped
 */
public record EngineProfile(
        long id,
        Role role,
        String zone,
        long rack,
        double readTokensPerMs,
        int maxConcurrentReads,
        int maxConcurrentStreams,
        int queueCapacity,
        double memoryTokens,
        double tokenMs,
        double transferTokensPerMs,
        double coldShare,
        double coldMs,
        double stateExpiryMs) {

    public static EngineProfile of(long id, Role role, String zone, long rack) {
        return new EngineProfile(
                id, role, zone, rack, 60, 8, 60, 40, 200_000, 8, 300, 0.3, 3000, 20_000);
    }

    /** Returns this profile with all speeds multiplied by a factor. */
    public EngineProfile scaled(double factor) {
        return new EngineProfile(
                id,
                role,
                zone,
                rack,
                readTokensPerMs * factor,
                maxConcurrentReads,
                maxConcurrentStreams,
                queueCapacity,
                memoryTokens,
                tokenMs / factor,
                transferTokensPerMs * factor,
                coldShare,
                coldMs,
                stateExpiryMs);
    }
}
