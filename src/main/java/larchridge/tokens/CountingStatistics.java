package larchridge.tokens;

/**
 * Moving averages of the time that counting takes on this machine and of the tokens per character
 * of the texts. Any thread may record counts; an update lost to a concurrent one does no harm.
 */
public final class CountingStatistics {
    private static final double PREVIOUS_WEIGHT = 0.9;

    private volatile double nsPerChar = 100;
    private volatile double tokensPerChar;

    /**
     * Creates statistics without any recorded count.
     *
     * @param tokensPerChar initial value of the average number of tokens per character
     */
    public CountingStatistics(double tokensPerChar) {
        this.tokensPerChar = tokensPerChar;
    }

    /**
     * Records one count.
     *
     * @param countedChars characters that were counted now, not taken from the cache
     * @param elapsedNs time that counting them took
     * @param knownTokens known tokens of the whole text, cached ones included
     * @param knownChars characters of the text whose tokens are known
     */
    void recordCount(int countedChars, long elapsedNs, int knownTokens, int knownChars) {
        nsPerChar = PREVIOUS_WEIGHT * nsPerChar + (1 - PREVIOUS_WEIGHT) * elapsedNs / countedChars;
        tokensPerChar =
                knownChars > 0
                        ? PREVIOUS_WEIGHT * tokensPerChar
                                + (1 - PREVIOUS_WEIGHT) * knownTokens / knownChars
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
