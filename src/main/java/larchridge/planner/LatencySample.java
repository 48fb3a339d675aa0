package larchridge.planner;

/** What the generations that are not batch work lived through at one front in a short time. */
public final class LatencySample {
    /** Tenths of the SLO time, the last for all beyond. */
    static final int BUCKETS = 40;

    static final double BUCKET_SLO_SHARE = 0.05;

    final int[] firstTokenCounts = new int[BUCKETS];
    int rejections;
    double longestWaitShareOfSlo;
    int unansweredRequests;

    /** A first token came after this share of the SLO time. */
    public void recordFirstToken(double shareOfSlo) {
        firstTokenCounts[(int) Math.max(0, Math.min(BUCKETS - 1, shareOfSlo / BUCKET_SLO_SHARE))]++;
    }

    /** One was throttled, or terminated because its time was up. */
    public void recordRejection() {
        rejections++;
    }

    /**
     * So many are open, and the one that has waited longest for a reader has waited this share of
     * its SLO time.
     */
    public void recordUnanswered(int unanswered, double shareOfSlo) {
        unansweredRequests = unanswered;
        longestWaitShareOfSlo = shareOfSlo;
    }
}
