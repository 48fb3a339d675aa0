package larchridge.tokens;

/**
 * How fast counting is here, and how many tokens a character has, from what was counted of late.
 * Any thread may tell it; a lost update of two that meet does no harm.
 */
public final class CountingRate {
    private static final double KEPT = 0.9;

    private volatile double nsAChar = 100;
    private volatile double toksAChar;

    /** Begins with what a site believes of its texts. */
    public CountingRate(double toksAChar) {
        this.toksAChar = toksAChar;
    }

    /**
     * So many characters took so long; the text that they are of has so many tokens in so many
     * characters.
     */
    void counted(int chars, long ns, int toks, int ofChars) {
        nsAChar = KEPT * nsAChar + (1 - KEPT) * ns / chars;
        toksAChar = ofChars > 0 ? KEPT * toksAChar + (1 - KEPT) * toks / ofChars : toksAChar;
    }

    public double msFor(int chars) {
        return chars * nsAChar / 1e6;
    }

    public double toksAChar() {
        return toksAChar;
    }
}
