package larchridge.budget;

/**
 * Counts what one generation is billed and what was wasted on it, from what engines reported and
 * what was sent to the client. Reports that arrive twice, late or not at all, or that are not
 * plausible, do no harm. Free of I/O, clocks and threads.
 */
public final class UsageMeter {
    /** A reported prompt is plausible up to this multiple of what the router counted itself. */
    private static final int MAX_PLAUSIBLE_MULTIPLE = 8;

    /** Prompt tokens that are plausible beyond that multiple, for short prompts. */
    private static final int PLAUSIBLE_EXTRA_TOKENS = 1000;

    private static final long UNKNOWN = -1;

    private final int countedPromptTokens;
    private final int maxTokens;
    private long billedPromptTokens = UNKNOWN;
    private long billedCachedTokens;
    private long wastedTokens;
    private long piecesSent;
    private long reportedOutputTokens = UNKNOWN;

    /**
     * The meter of one generation.
     *
     * @param countedPromptTokens prompt tokens as the router counted them
     * @param maxTokens the most tokens that the answer may have
     */
    public UsageMeter(int countedPromptTokens, int maxTokens) {
        this.countedPromptTokens = countedPromptTokens;
        this.maxTokens = maxTokens;
    }

    /**
     * An engine read the prompt; until an answer starts from this read, it is waste. Returns the
     * tokens that the read counts as.
     */
    public long promptRead(int reportedTokens) {
        long tokens = plausiblePromptTokens(reportedTokens);
        wastedTokens += tokens;
        return tokens;
    }

    /** The answer starts from a read that {@link #promptRead} counted: it is not waste. */
    public void responseStartedFromRead(long readTokens, int cachedTokens) {
        if (billedPromptTokens < 0) {
            bill(readTokens, cachedTokens);
            wastedTokens -= readTokens;
        }
    }

    /** The answer starts at an engine that read the prompt itself. */
    public void responseStartedInPlace(long promptTokens) {
        if (billedPromptTokens < 0) {
            bill(promptTokens, 0);
        }
    }

    private void bill(long promptTokens, int cachedTokens) {
        billedPromptTokens = promptTokens;
        billedCachedTokens = Math.max(0, Math.min(cachedTokens, promptTokens));
    }

    /** A piece of the answer was sent to the client. */
    public void pieceSent() {
        piecesSent++;
    }

    /** So many pieces that were counted as sent did not reach the client's socket after all. */
    public void piecesNotSent(int pieces) {
        piecesSent -= pieces;
    }

    /**
     * The answer is complete; the engine reports its tokens, of which each piece is at least one.
     */
    public void responseCompleted(int reportedTokens) {
        boolean plausible = reportedTokens >= piecesSent && reportedTokens <= maxTokens;
        reportedOutputTokens = plausible ? reportedTokens : piecesSent;
    }

    /** The client received nothing: an answer in one piece that was not completed. */
    public void responseDiscarded() {
        if (billedPromptTokens >= 0) {
            wastedTokens += billedPromptTokens + piecesSent;
        }
        billedPromptTokens = UNKNOWN;
        billedCachedTokens = 0;
        piecesSent = 0;
        reportedOutputTokens = 0;
    }

    /** The prompt tokens that an engine reported if they are plausible, else those counted here. */
    public long plausiblePromptTokens(int reportedTokens) {
        long maxPlausible =
                (long) MAX_PLAUSIBLE_MULTIPLE * countedPromptTokens + PLAUSIBLE_EXTRA_TOKENS;
        return reportedTokens > 0 && reportedTokens <= maxPlausible
                ? reportedTokens
                : countedPromptTokens;
    }

    /** The billed prompt tokens. */
    public long promptTokens() {
        return Math.max(0, billedPromptTokens);
    }

    /** The billed prompt tokens that the engine found in its cache. */
    public long cachedTokens() {
        return billedCachedTokens;
    }

    /** The billed tokens of the answer. */
    public long outputTokens() {
        return reportedOutputTokens >= 0 ? reportedOutputTokens : piecesSent;
    }

    /** Tokens of reads and answers that are not billed. */
    public long wastedTokens() {
        return Math.max(0, wastedTokens);
    }

    /** All billed tokens: what the generation used of its tenant's budget. */
    public double billedTokens() {
        return promptTokens() + outputTokens();
    }
}
