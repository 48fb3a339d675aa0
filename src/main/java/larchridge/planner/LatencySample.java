package larchridge.planner;

/**
 * Latencies and overload failures of one router's interactive (non-batch) requests since its
 * previous sample.
 */
public final class LatencySample {
    /** The number of histogram buckets; the last one also counts all longer latencies. */
    static final int BUCKETS = 40;

    /** The width of a bucket, as a share of the SLO time. */
    static final double BUCKET_SLO_SHARE = 0.05;

    final int[] firstTokenCounts = new int[BUCKETS];
    int overloadFailures;
    double longestWaitShareOfSlo;
    int unansweredRequests;

    /** Counts a first token that arrived after this share of the SLO time. */
    public void recordFirstToken(double shareOfSlo) {
        firstTokenCounts[(int) Math.max(0, Math.min(BUCKETS - 1, shareOfSlo / BUCKET_SLO_SHARE))]++;
    }

    /** Counts a request that was throttled, or terminated because its time limit was exceeded. */
    public void recordOverloadFailure() {
        overloadFailures++;
    }

    /**
     * Sets how many requests are unanswered now, and the longest wait for a reader among them. The
     * limit on batch work depends only on the wait.
     *
     * @param maxWaitShareOfSlo the longest wait, as a share of the SLO time of the request that
     *     waits
     */
    public void setUnanswered(int unanswered, double maxWaitShareOfSlo) {
        unansweredRequests = unanswered;
        longestWaitShareOfSlo = maxWaitShareOfSlo;
    }
}
