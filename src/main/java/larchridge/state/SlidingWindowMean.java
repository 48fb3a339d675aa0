package larchridge.state;

/** A weighted mean over the last span of time, in fixed buckets. */
public final class SlidingWindowMean {
    private final SlidingWindow sums;
    private final SlidingWindow weights;

    public SlidingWindowMean(int buckets, double bucketMs) {
        sums = new SlidingWindow(buckets, bucketMs);
        weights = new SlidingWindow(buckets, bucketMs);
    }

    public void add(double nowMs, double amount, double weight) {
        sums.add(nowMs, amount);
        weights.add(nowMs, weight);
    }

    /** The mean, or 0 where nothing was added of late. */
    public double at(double nowMs) {
        double weight = weights.sum(nowMs);
        return weight > 0 ? sums.sum(nowMs) / weight : 0;
    }

    public double spanMs() {
        return weights.spanMs();
    }

    public double weight(double nowMs) {
        return weights.sum(nowMs);
    }
}
