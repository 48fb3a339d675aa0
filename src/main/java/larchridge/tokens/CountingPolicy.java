package larchridge.tokens;

/**
 * Whether a text is counted on the loop, aside, or not at all. A guess of a prompt's length costs
 * about what it is wrong by in reading time; counting may take a part of that. Without I/O, clock
 * or threads.
 */
public final class CountingPolicy {
    /** What one text may hold up its loop. */
    static final double LOOP_MS = 1;

    /**
     * How far a guess by bytes is off as a rule, as a part of the prompt, where it is not known
     * better.
     */
    static final double GUESS_ERROR = 0.25;

    /** Counting may take this part of the time by which the guess is wrong. */
    static final double PART = 0.2;

    /** Nobody waits for his count longer than this part of his SLO time. */
    static final double SLO_PART = 0.05;

    /** What is done with a text. */
    public enum Way {
        NOW,
        ASIDE,
        GUESS
    }

    private CountingPolicy() {}

    /**
     * Decides on one text.
     *
     * @param countMs what counting takes
     * @param waitMs what is before it aside
     * @param guessTokens tokens that are guessed of what is not known
     * @param readTokensPerMs how fast an idle reader reads
     * @param sloMs the generation's SLO time
     */
    public static Way of(
            double countMs,
            double waitMs,
            double guessTokens,
            double readTokensPerMs,
            double sloMs) {
        if (countMs <= LOOP_MS) {
            return Way.NOW;
        }
        double wrongMs = GUESS_ERROR * guessTokens / Math.max(1e-9, readTokensPerMs);
        double may = Math.min(PART * wrongMs, SLO_PART * sloMs);
        return countMs + waitMs <= may ? Way.ASIDE : Way.GUESS;
    }
}
