package larchridge.budget;

/**
 * Counts what one generation is billed and what was wasted on it, from what engines reported and
 * what went to the client. Reports that come twice, late, not at all, or that can't be true do no
 * harm. Without I/O, clock or threads.
 */
public final class UsageMeter {
    /** Reports over so many times what the front itself counted are not believed. */
    private static final int MOST_TIMES = 8;

    private final int countedPrompt;
    private final int maxTokens;
    private long billedPrompt = -1;
    private long billedKept;
    private long wasted;
    private long pieceSent;
    private long out = -1;

    public UsageMeter(int countedPrompt, int maxTokens) {
        this.countedPrompt = countedPrompt;
        this.maxTokens = maxTokens;
    }

    /**
     * A prompt was read there; until an answer comes of it, it is waste. Returns what the read
     * counts as.
     */
    public long promptRead(int reported) {
        long tokens = plausiblePromptTokens(reported);
        wasted += tokens;
        return tokens;
    }

    /** The answer begins from this read: it is no waste. */
    public void responseStarted(long readTokens, int kept, boolean wasRead) {
        if (billedPrompt >= 0) {
            return;
        }
        billedPrompt = readTokens;
        billedKept = Math.max(0, Math.min(kept, readTokens));
        wasted -= wasRead ? readTokens : 0;
    }

    /** A piece went to the client. */
    public void pieceSent() {
        pieceSent++;
    }

    /** So many pieces that were counted as sent did not go out after all. */
    public void piecesNotSent(int pieces) {
        pieceSent -= pieces;
    }

    /** The answer is whole; the engine reports so many tokens, each piece being one at least. */
    public void responseCompleted(int reported) {
        out = reported >= pieceSent && reported <= maxTokens ? reported : pieceSent;
    }

    /** The client got nothing of it: an answer in one piece that did not come to its end. */
    public void responseDiscarded() {
        if (billedPrompt >= 0) {
            wasted += billedPrompt + pieceSent;
        }
        billedPrompt = -1;
        billedKept = 0;
        pieceSent = 0;
        out = 0;
    }

    /** A reported prompt as far as it can be true. */
    public long plausiblePromptTokens(int reported) {
        return reported > 0 && reported <= (long) MOST_TIMES * countedPrompt + 1000
                ? reported
                : countedPrompt;
    }

    public long promptTokens() {
        return Math.max(0, billedPrompt);
    }

    public long cachedTokens() {
        return billedKept;
    }

    public long outputTokens() {
        return out >= 0 ? out : pieceSent;
    }

    public long wastedTokens() {
        return Math.max(0, wasted);
    }

    /** What it took of its tenant's budget: what is billed. */
    public double billedTokens() {
        return promptTokens() + outputTokens();
    }
}
