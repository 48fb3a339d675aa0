package larchridge.budget;

/**
 * Counts what one generation is billed and what was wasted on it, from the reports of engines and
 * the chunks of text sent to the client. Tolerates reports that are repeated, late, missing or
 * implausible. Free of I/O, clocks and threads.
 */
public final class UsageMeter {
    /** A reported prompt is plausible up to this multiple of the router's own count. */
    private static final int MAX_PLAUSIBLE_MULTIPLE = 8;

    /** Added to that multiple, to allow for short prompts. */
    private static final int PLAUSIBLE_EXTRA_TOKENS = 1000;

    private static final long UNKNOWN = -1;

    private final int countedPromptTokens;
    private final int maxTokens;
    private long billedPromptTokens = UNKNOWN;
    private long billedCachedTokens;
    private long wastedTokens;
    private long chunksSent;
    private long reportedOutputTokens = UNKNOWN;

    /**
     * The meter of one generation.
     *
     * @param countedPromptTokens prompt tokens as the router counted them
     * @param maxTokens the maximum number of tokens of the answer
     */
    public UsageMeter(int countedPromptTokens, int maxTokens) {
        this.countedPromptTokens = countedPromptTokens;
        this.maxTokens = maxTokens;
    }

    /**
     * Records that an engine read the prompt, which counts as waste until an answer starts from
     * this read. Returns the tokens that the read counts as.
     */
    public long promptRead(int reportedTokens) {
        long tokens = plausiblePromptTokens(reportedTokens);
        wastedTokens += tokens;
        return tokens;
    }

    /**
     * Records that the answer starts from a read counted by {@link #promptRead}: bills the read,
     * which no longer counts as waste.
     */
    public void responseStartedFromRead(long readTokens, int cachedTokens) {
        if (billedPromptTokens < 0) {
            bill(readTokens, cachedTokens);
            wastedTokens -= readTokens;
        }
    }

    /** Records that the answer starts at an engine that read the prompt itself. */
    public void responseStartedAtReadingEngine(long promptTokens) {
        if (billedPromptTokens < 0) {
            bill(promptTokens, 0);
        }
    }

    private void bill(long promptTokens, int cachedTokens) {
        billedPromptTokens = promptTokens;
        billedCachedTokens = Math.max(0, Math.min(cachedTokens, promptTokens));
    }

    /** Records that a chunk of the answer was sent to the client. */
    public void chunkSent() {
        chunksSent++;
    }

    /** Records that chunks counted as sent did not reach the client's socket. */
    public void chunksNotSent(int chunks) {
        chunksSent -= chunks;
    }

    /**
     * Records that the answer is complete. A plausible report counts at least one token for each
     * chunk.
     */
    public void responseCompleted(int reportedTokens) {
        boolean plausible = reportedTokens >= chunksSent && reportedTokens <= maxTokens;
        reportedOutputTokens = plausible ? reportedTokens : chunksSent;
    }

    /** Records that the client received nothing, since an unstreamed answer was not completed. */
    public void responseDiscarded() {
        if (billedPromptTokens >= 0) {
            wastedTokens += billedPromptTokens + chunksSent;
        }
        billedPromptTokens = UNKNOWN;
        billedCachedTokens = 0;
        chunksSent = 0;
        reportedOutputTokens = 0;
    }

    /** The prompt tokens that an engine reported if plausible, else the router's own count. */
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
        return reportedOutputTokens >= 0 ? reportedOutputTokens : chunksSent;
    }

    /** Tokens of reads and answers that are not billed. */
    public long wastedTokens() {
        return Math.max(0, wastedTokens);
    }

    /** All billed tokens, which the generation used of its tenant's budget. */
    public double billedTokens() {
        return promptTokens() + outputTokens();
    }
}
