package larchridge.tokens;

/**
 * How fast counting is here, and how many tokens a character has, from what was counted of late.
 * Any thread may tell it; a lost update of two that meet does no harm.
 */
public final class CountingRate {
    private static final double PREVIOUS_WEIGHT = 0.9;

    private volatile double nsPerChar = 100;
    private volatile double tokensPerChar;

    /** Begins with what a site believes of its texts. */
    public CountingRate(double tokensPerChar) {
        this.tokensPerChar = tokensPerChar;
    }

    /**
     * So many characters took so long; the text that they are of has so many tokens in so many
     * characters.
     */
    void recordCount(int newChars, long elapsedNs, int textTokens, int textChars) {
        nsPerChar = PREVIOUS_WEIGHT * nsPerChar + (1 - PREVIOUS_WEIGHT) * elapsedNs / newChars;
        tokensPerChar =
                textChars > 0 ? PREVIOUS_WEIGHT * tokensPerChar + (1 - PREVIOUS_WEIGHT) * textTokens / textChars : tokensPerChar;
    }

    public double expectedMs(int chars) {
        return chars * nsPerChar / 1e6;
    }

    public double tokensPerChar() {
        return tokensPerChar;
    }
}
