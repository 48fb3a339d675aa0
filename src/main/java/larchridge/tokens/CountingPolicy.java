package larchridge.tokens;

/**
 * Whether a text is counted on the loop, aside, or not at all. A guess of a prompt's length costs
 * about what it is wrong by in reading time; counting may take a part of that. Without I/O, clock
 * or threads.
 */
public final class CountingPolicy {
    /** What one text may hold up its loop. */
    static final double MAX_LOOP_MS = 1;

    /**
     * How far a guess by bytes is off as a rule, as a part of the prompt, where it is not known
     * better.
     */
    static final double ESTIMATE_ERROR_FRACTION = 0.25;

    /** Counting may take this part of the time by which the guess is wrong. */
    static final double MAX_FRACTION_OF_ERROR_COST = 0.2;

    /** Nobody waits for his count longer than this part of his SLO time. */
    static final double MAX_FRACTION_OF_SLO = 0.05;

    /** What is done with a text. */
    public enum Mode {
        INLINE,
        WORKER,
        ESTIMATE
    }

    private CountingPolicy() {}

    /**
     * Decides on one text.
     *
     * @param countMs what counting takes
     * @param queueWaitMs what is before it aside
     * @param estimatedTokens tokens that are guessed of what is not known
     * @param readTokensPerMs how fast an idle reader reads
     * @param sloMs the generation's SLO time
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
        double errorCostMs = ESTIMATE_ERROR_FRACTION * estimatedTokens / Math.max(1e-9, readTokensPerMs);
        double maxCountingMs = Math.min(MAX_FRACTION_OF_ERROR_COST * errorCostMs, MAX_FRACTION_OF_SLO * sloMs);
        return countMs + queueWaitMs <= maxCountingMs ? Mode.WORKER : Mode.ESTIMATE;
    }
}
