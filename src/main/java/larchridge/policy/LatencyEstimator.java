package larchridge.policy;

import larchridge.state.Engine;
import larchridge.state.SlidingWindow;

/** How long a read or the start of an answer is likely to take, from what took place of late. */
final class LatencyEstimator {
    /** Tokens a millisecond that are assumed until a read has completed. */
    private static final double DEFAULT_READ_TOKENS_PER_MS = 12;

    /** Completed reads from which on an engine's own speed counts instead of the pool's. */
    private static final double MIN_READS_FOR_ENGINE_SPEED = 3;

    /** Milliseconds from sending an answer to its first token, until one has been measured. */
    private static final double INITIAL_FIRST_TOKEN_MS = 100;

    /** What the newest measurement counts in the time to the first token. */
    private static final double FIRST_TOKEN_EWMA_WEIGHT = 0.05;

    private final LoadEstimator load;

    /** The best speed of the reads of late at any engine, in tokens a millisecond. */
    private final SlidingWindow readSpeeds = new SlidingWindow(20, 1000);

    private double firstTokenMs = INITIAL_FIRST_TOKEN_MS;

    LatencyEstimator(LoadEstimator load) {
        this.load = load;
    }

    /** Counts a completed read of so many tokens that took so long from its sending. */
    void recordRead(Engine engine, double unreadTokens, double durationMs, double nowMs) {
        double speed = unreadTokens / Math.max(1, durationMs);
        engine.recordRead(speed, nowMs);
        readSpeeds.addMax(nowMs, speed);
    }

    /** Counts the time from the sending of an answer to its first token. */
    void recordFirstToken(double durationMs) {
        firstTokenMs += FIRST_TOKEN_EWMA_WEIGHT * (durationMs - firstTokenMs);
    }

    /**
     * Forgets that reads and answers were slow; what was measured before no longer says anything.
     */
    void resetSlowEstimates() {
        firstTokenMs = Math.min(firstTokenMs, INITIAL_FIRST_TOKEN_MS);
        readSpeeds.clear();
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
        return toMsPerToken(
                engine.recentReads(nowMs) >= MIN_READS_FOR_ENGINE_SPEED
                        ? engine.maxReadSpeed(nowMs)
                        : readSpeeds.max(nowMs));
    }

    /** Milliseconds that the fastest engine takes to read a token. */
    double bestMsPerToken(double nowMs) {
        return toMsPerToken(readSpeeds.max(nowMs));
    }

    private static double toMsPerToken(double tokensPerMs) {
        return 1 / (tokensPerMs > 0 ? tokensPerMs : DEFAULT_READ_TOKENS_PER_MS);
    }

    /**
     * How long what waits to be read at an engine takes; never less than how long the engine has
     * been silent over it.
     */
    double backlogMs(Engine engine, double nowMs) {
        double unreadSinceMs = engine.unreadSinceMs();
        double silentMs = Double.isNaN(unreadSinceMs) ? 0 : nowMs - Math.max(engine.lastContactMs(), unreadSinceMs);
        return Math.max(load.unreadTokens(engine, nowMs) * msPerToken(engine, nowMs), silentMs);
    }
}
