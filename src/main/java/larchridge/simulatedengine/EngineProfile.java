package larchridge.simulatedengine;

import larchridge.state.Role;

/**
 * What a stand-in engine is like. The figures are made up for drills; they measure no real machine.
 *
 * @param readTokensPerMs prompt tokens read a millisecond when warm
 * @param readsAtOnce prompts read side by side
 * @param streams answers written side by side
 * @param queue attempts that may wait
 * @param tokenMs time between two tokens of a stream
 * @param moveTokensPerMs how fast a state moves within the rack; slower across racks and zones
 * @param lapseMs when a state that nobody fetches is dropped
 */
public record EngineProfile(
        long id,
        Role role,
        String zone,
        long rack,
        double readTokensPerMs,
        int readsAtOnce,
        int streams,
        int queue,
        double memoryTokens,
        double tokenMs,
        double moveTokensPerMs,
        double coldShare,
        double coldMs,
        double lapseMs) {

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
                readsAtOnce,
                streams,
                queue,
                memoryTokens,
                tokenMs / factor,
                moveTokensPerMs * factor,
                coldShare,
                coldMs,
                lapseMs);
    }
}
