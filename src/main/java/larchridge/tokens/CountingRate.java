package larchridge.tokens;

/**
 * Moving averages of the time that counting takes on this machine and of the tokens per character
 * of the texts. Any thread may record counts; an update lost to a concurrent one does no harm.
 */
public final class CountingRate {
    private static final double PREVIOUS_WEIGHT = 0.9;

    private volatile double nsPerChar = 100;
    private volatile double tokensPerChar;

    /** Starts from the tokens per character that the site's settings give. */
    public CountingRate(double tokensPerChar) {
        this.tokensPerChar = tokensPerChar;
    }

    /**
     * Records one count.
     *
     * @param newChars characters that had to be counted
     * @param elapsedNs time that counting them took
     * @param textTokens known tokens of the whole text, cached ones included
     * @param textChars characters of the text whose tokens are known
     */
    void recordCount(int newChars, long elapsedNs, int textTokens, int textChars) {
        nsPerChar = PREVIOUS_WEIGHT * nsPerChar + (1 - PREVIOUS_WEIGHT) * elapsedNs / newChars;
        tokensPerChar =
                textChars > 0
                        ? PREVIOUS_WEIGHT * tokensPerChar
                                + (1 - PREVIOUS_WEIGHT) * textTokens / textChars
                        : tokensPerChar;
    }

    /** The expected time in which this many characters are counted. */
    public double expectedMs(int chars) {
        return chars * nsPerChar / 1e6;
    }

    /** The average number of tokens per character. */
    public double tokensPerChar() {
        return tokensPerChar;
    }
}
