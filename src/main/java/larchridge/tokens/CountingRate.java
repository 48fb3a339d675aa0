package larchridge.tokens;

/**
 * How fast counting is here, and how many tokens a character has, from what was counted of late.
 * Any thread may tell it; a lost update of two that meet does no harm.
 */
public final class CountingRate {
    private static final double KEPT = 0.9;

    private volatile double nsAChar = 100;
    private volatile double tokensAChar;

    /** Begins with what a site believes of its texts. */
    public CountingRate(double tokensAChar) {
        this.tokensAChar = tokensAChar;
    }

    /**
     * So many characters took so long; the text that they are of has so many tokens in so many
     * characters.
     */
    void counted(int chars, long ns, int tokens, int ofChars) {
        nsAChar = KEPT * nsAChar + (1 - KEPT) * ns / chars;
        tokensAChar =
                ofChars > 0 ? KEPT * tokensAChar + (1 - KEPT) * tokens / ofChars : tokensAChar;
    }

    public double msFor(int chars) {
        return chars * nsAChar / 1e6;
    }

    public double tokensAChar() {
        return tokensAChar;
    }
}
