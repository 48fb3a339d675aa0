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
    private long sent;
    private long out = -1;

    public UsageMeter(int countedPrompt, int maxTokens) {
        this.countedPrompt = countedPrompt;
        this.maxTokens = maxTokens;
    }

    /**
     * A prompt was read there; until an answer comes of it, it is waste. Returns what the read
     * counts as.
     */
    public long read(int reported) {
        long tokens = believed(reported);
        wasted += tokens;
        return tokens;
    }

    /** The answer begins from this read: it is no waste. */
    public void begun(long readTokens, int kept, boolean wasRead) {
        if (billedPrompt >= 0) {
            return;
        }
        billedPrompt = readTokens;
        billedKept = Math.max(0, Math.min(kept, readTokens));
        wasted -= wasRead ? readTokens : 0;
    }

    /** A piece went to the client. */
    public void sent() {
        sent++;
    }

    /** So many pieces that were counted as sent did not go out after all. */
    public void notSent(int pieces) {
        sent -= pieces;
    }

    /** The answer is whole; the engine reports so many tokens, each piece being one at least. */
    public void whole(int reported) {
        out = reported >= sent && reported <= maxTokens ? reported : sent;
    }

    /** The client got nothing of it: an answer in one piece that did not come to its end. */
    public void nothingSent() {
        if (billedPrompt >= 0) {
            wasted += billedPrompt + sent;
        }
        billedPrompt = -1;
        billedKept = 0;
        sent = 0;
        out = 0;
    }

    /** A reported prompt as far as it can be true. */
    public long believed(int reported) {
        return reported > 0 && reported <= (long) MOST_TIMES * countedPrompt + 1000
                ? reported
                : countedPrompt;
    }

    public long promptTokens() {
        return Math.max(0, billedPrompt);
    }

    public long keptTokens() {
        return billedKept;
    }

    public long outTokens() {
        return out >= 0 ? out : sent;
    }

    public long wastedTokens() {
        return Math.max(0, wasted);
    }

    /** What it took of its tenant's budget: what is billed. */
    public double used() {
        return promptTokens() + outTokens();
    }
}
