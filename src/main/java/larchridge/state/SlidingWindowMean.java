package larchridge.state;

/** A weighted mean over the last span of time, in fixed buckets. */
public final class SlidingWindowMean {
    private final SlidingWindow sums;
    private final SlidingWindow weights;

    /** A mean over so many buckets of so many milliseconds each. */
    public SlidingWindowMean(int buckets, double bucketMs) {
        sums = new SlidingWindow(buckets, bucketMs);
        weights = new SlidingWindow(buckets, bucketMs);
    }

    /** Adds an amount that stands for so much weight. */
    public void add(double nowMs, double amount, double weight) {
        sums.add(nowMs, amount);
        weights.add(nowMs, weight);
    }

    /** The sum of amounts by the sum of weights, or 0 where nothing was added of late. */
    public double mean(double nowMs) {
        double weight = weights.sum(nowMs);
        return weight > 0 ? sums.sum(nowMs) / weight : 0;
    }

    /** The span of time that counts. */
    public double spanMs() {
        return weights.spanMs();
    }

    /** The weight that was added of late. */
    public double weight(double nowMs) {
        return weights.sum(nowMs);
    }
}
