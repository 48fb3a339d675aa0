package larchridge.tokens;

/**
 * Decides whether a text is counted on the event loop, on a worker thread, or not at all. If an
 * estimate is wrong by n tokens, its cost is taken to be the time in which a reader processes n
 * tokens. A text that takes too long for the event loop is counted only if the wait for a worker
 * thread and the counting take at most a fraction of that cost. Uses no I/O, clock or threads.
 */
public final class CountingPolicy {
    /** The longest time for which counting one text may block the event loop. */
    static final double MAX_LOOP_MS = 1;

    /**
     * Assumed error of an estimate from the number of bytes, as a fraction of the prompt's tokens.
     */
    static final double ESTIMATE_ERROR_FRACTION = 0.25;

    /**
     * Expected queue wait and counting time together may be at most this fraction of the cost of
     * the estimate's error.
     */
    static final double MAX_FRACTION_OF_ERROR_COST = 0.2;

    /**
     * Expected queue wait and counting time together may be at most this fraction of the SLO time.
     */
    static final double MAX_FRACTION_OF_SLO = 0.05;

    /** How the length of a text is determined. */
    public enum Mode {
        /** Counted on the event loop. */
        INLINE,
        /** Counted on a worker thread. */
        WORKER,
        /** Not counted but estimated. */
        ESTIMATE
    }

    private CountingPolicy() {}

    /**
     * Chooses the mode for one text.
     *
     * @param countMs expected time of counting
     * @param queueWaitMs expected wait for a worker thread
     * @param estimatedTokens estimated tokens of the part that is not counted yet
     * @param readTokensPerMs reading rate of an idle reader
     * @param sloMs SLO time: the fixed part of the generation's target time to the first token
     */
    public static Mode choose(
            double countMs,
            double queueWaitMs,
            double estimatedTokens,
            double readTokensPerMs,
            double sloMs) {
        if (countMs <= MAX_LOOP_MS) {
            return Mode.INLINE;
        }
        double errorCostMs =
                ESTIMATE_ERROR_FRACTION * estimatedTokens / Math.max(1e-9, readTokensPerMs);
        double maxCountingMs =
                Math.min(MAX_FRACTION_OF_ERROR_COST * errorCostMs, MAX_FRACTION_OF_SLO * sloMs);
        return countMs + queueWaitMs <= maxCountingMs ? Mode.WORKER : Mode.ESTIMATE;
    }
}
