package larchridge.policy;

import larchridge.state.Engine;
import larchridge.state.SlidingWindow;

/** How long a read or the start of an answer is likely to take, from what took place of late. */
final class LatencyEstimator {
    /** Tokens a millisecond that are assumed until a read has completed. */
    private static final double UNMEASURED_TOKENS_PER_MS = 12;

    /** Completed reads from which on an engine's own speed counts instead of the pool's. */
    private static final double OWN_READS = 3;

    /** Milliseconds from sending an answer to its first token, until one has been measured. */
    private static final double INITIAL_FIRST_TOKEN_MS = 100;

    /** What the newest measurement counts in the time to the first token. */
    private static final double FIRST_TOKEN_WEIGHT = 0.05;

    private final LoadEstimator load;

    /** The best speed of the reads of late at any engine, in tokens a millisecond. */
    private final SlidingWindow speeds = new SlidingWindow(20, 1000);

    private double firstTokenMs = INITIAL_FIRST_TOKEN_MS;

    LatencyEstimator(LoadEstimator load) {
        this.load = load;
    }

    /** Counts a completed read of so many tokens that took so long from its sending. */
    void recordRead(Engine engine, double unreadTokens, double tookMs, double nowMs) {
        double speed = unreadTokens / Math.max(1, tookMs);
        engine.recordRead(speed, nowMs);
        speeds.addMax(nowMs, speed);
    }

    /** Counts the time from the sending of an answer to its first token. */
    void recordFirstToken(double tookMs) {
        firstTokenMs += FIRST_TOKEN_WEIGHT * (tookMs - firstTokenMs);
    }

    /**
     * Forgets that reads and answers were slow; what was measured before no longer says anything.
     */
    void forgetSlowness() {
        firstTokenMs = Math.min(firstTokenMs, INITIAL_FIRST_TOKEN_MS);
        speeds.clear();
    }

    /** Milliseconds from the sending of an answer to its first token. */
    double firstTokenMs() {
        return firstTokenMs;
    }

    /**
     * Milliseconds that an engine takes to read a token, by the best speed of late, which no queue
     * has slowed: a mean would count other prompts in the queue twice.
     */
    double msPerToken(Engine engine, double nowMs) {
        return inverse(
                engine.recentReads(nowMs) >= OWN_READS
                        ? engine.bestReadSpeed(nowMs)
                        : speeds.max(nowMs));
    }

    /** Milliseconds that the fastest engine takes to read a token. */
    double bestMsPerToken(double nowMs) {
        return inverse(speeds.max(nowMs));
    }

    private static double inverse(double tokensPerMs) {
        return 1 / (tokensPerMs > 0 ? tokensPerMs : UNMEASURED_TOKENS_PER_MS);
    }

    /**
     * How long what waits to be read at an engine takes; never less than how long the engine has
     * been silent over it.
     */
    double backlogMs(Engine engine, double nowMs) {
        double sinceMs = engine.unreadSinceMs();
        double silentMs = Double.isNaN(sinceMs) ? 0 : nowMs - Math.max(engine.heardMs(), sinceMs);
        return Math.max(load.unreadTokens(engine, nowMs) * msPerToken(engine, nowMs), silentMs);
    }
}
