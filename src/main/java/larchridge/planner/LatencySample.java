package larchridge.planner;

/** What the generations that are not batch work lived through at one front in a short time. */
public final class LatencySample {
    /** Tenths of the SLO time, the last for all beyond. */
    static final int PARTS = 40;

    static final double PART = 0.05;

    final int[] firstTokens = new int[PARTS];
    int turnedAway;
    double longestWait;
    int open;

    /** A first token came after this share of the SLO time. */
    public void begun(double shareOfSlo) {
        firstTokens[(int) Math.max(0, Math.min(PARTS - 1, shareOfSlo / PART))]++;
    }

    /** One was throttled, or terminated because its time was up. */
    public void turnedAway() {
        turnedAway++;
    }

    /**
     * So many are open, and the one that has waited longest for a reader has waited this share of
     * its SLO time.
     */
    public void waiting(int openNow, double shareOfSlo) {
        open = openNow;
        longestWait = shareOfSlo;
    }
}
