package larchridge.simulatedengine;

import larchridge.state.Role;

/**
 * What a stand-in engine is like. The figures are made up for drills; they measure no real machine.
 *
 * @param readTokensPerMs prompt tokens read a millisecond when warm
 * @param maxConcurrentReads prompts read side by side
 * @param maxConcurrentStreams answers written side by side
 * @param queueCapacity attempts that may wait
 * @param tokenMs time between two tokens of a stream
 * @param transferTokensPerMs how fast a state moves within the rack; slower across racks and zones
 * @param stateExpiryMs when a state that nobody fetches is dropped
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

    /** The same engine, this many times as fast. */
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
