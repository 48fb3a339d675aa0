package larchridge.policy;

import larchridge.state.Engine;
import larchridge.state.SlidingWindow;

/** Estimates the duration of reads and the time to the first token from recent measurements. */
final class LatencyEstimator {
    /** Read speed assumed until a read has completed. */
    private static final double DEFAULT_READ_TOKENS_PER_MS = 12;

    /** Recent reads an engine needs for its own speed to be used instead of the pool's. */
    private static final double MIN_READS_FOR_ENGINE_SPEED = 3;

    /** Time to the first token assumed until one has been measured. */
    private static final double INITIAL_FIRST_TOKEN_MS = 100;

    /** Weight of the newest measurement in the moving average of the time to the first token. */
    private static final double FIRST_TOKEN_EWMA_WEIGHT = 0.05;

    private final LoadEstimator load;

    /** Highest recent read speed of any engine, in tokens per millisecond. */
    private final SlidingWindow readSpeeds = new SlidingWindow(20, 1000);

    private double firstTokenMs = INITIAL_FIRST_TOKEN_MS;

    LatencyEstimator(LoadEstimator load) {
        this.load = load;
    }

    /** Records a completed read; the duration is measured from when it was sent. */
    void recordRead(Engine engine, double readTokens, double durationMs, double nowMs) {
        double speed = readTokens / Math.max(1, durationMs);
        engine.recordRead(speed, nowMs);
        readSpeeds.recordMax(nowMs, speed);
    }

    /** Records the time from sending a write attempt to the first token of its answer. */
    void recordFirstToken(double durationMs) {
        firstTokenMs += FIRST_TOKEN_EWMA_WEIGHT * (durationMs - firstTokenMs);
    }

    /**
     * Resets the pool's read speed, and the time to the first token if it is above its initial
     * value, when past measurements are outdated.
     */
    void resetSlowEstimates() {
        firstTokenMs = Math.min(firstTokenMs, INITIAL_FIRST_TOKEN_MS);
        readSpeeds.clear();
    }

    /** Estimated time from sending a write attempt to the first token of its answer. */
    double firstTokenMs() {
        return firstTokenMs;
    }

    /**
     * Milliseconds an engine takes to read a token. Uses the highest recent speed, which is the
     * least affected by queueing: a mean would count the other prompts in the queue twice.
     */
    double msPerToken(Engine engine, double nowMs) {
        return toMsPerToken(
                engine.recentReads(nowMs) >= MIN_READS_FOR_ENGINE_SPEED
                        ? engine.maxReadSpeed(nowMs)
                        : readSpeeds.max(nowMs));
    }

    /** Milliseconds the fastest engine takes to read a token. */
    double bestMsPerToken(double nowMs) {
        return toMsPerToken(readSpeeds.max(nowMs));
    }

    private static double toMsPerToken(double tokensPerMs) {
        return 1 / (tokensPerMs > 0 ? tokensPerMs : DEFAULT_READ_TOKENS_PER_MS);
    }

    /**
     * Estimated time an engine needs to read its unread tokens; at least as long as the engine has
     * been silent since they were sent.
     */
    double backlogMs(Engine engine, double nowMs) {
        double unreadSinceMs = engine.unreadSinceMs();
        double silentMs =
                Double.isNaN(unreadSinceMs)
                        ? 0
                        : nowMs - Math.max(engine.lastResponseMs(), unreadSinceMs);
        return Math.max(load.unreadTokens(engine, nowMs) * msPerToken(engine, nowMs), silentMs);
    }
}
