package larchridge.state;

/** A weighted mean over a sliding time window, kept in fixed-size buckets. */
public final class SlidingWindowMean {
    private final SlidingWindow sums;
    private final SlidingWindow weights;

    /** Creates a mean over the given number and duration of buckets. */
    public SlidingWindowMean(int buckets, double bucketMs) {
        sums = new SlidingWindow(buckets, bucketMs);
        weights = new SlidingWindow(buckets, bucketMs);
    }

    /** Adds an amount and the weight it stands for. */
    public void add(double nowMs, double amount, double weight) {
        sums.add(nowMs, amount);
        weights.add(nowMs, weight);
    }

    /** The sum of amounts divided by the sum of weights; 0 if the window is empty. */
    public double mean(double nowMs) {
        double weight = weights.sum(nowMs);
        return weight > 0 ? sums.sum(nowMs) / weight : 0;
    }

    /** The duration of the window. */
    public double spanMs() {
        return weights.spanMs();
    }

    /** The sum of weights in the window. */
    public double weight(double nowMs) {
        return weights.sum(nowMs);
    }
}
