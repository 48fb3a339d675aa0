package larchridge.state;

import java.util.Arrays;

/** Sums or maxima over a sliding time window, kept in a ring of fixed-size buckets. */
public final class SlidingWindow {
    private final double bucketMs;
    private final double[] values;
    private long newestBucket = Long.MIN_VALUE;

    /** Creates a window of the given number and duration of buckets. */
    public SlidingWindow(int buckets, double bucketMs) {
        this.bucketMs = bucketMs;
        this.values = new double[buckets];
    }

    /** Adds an amount to the current bucket. */
    public void add(double nowMs, double amount) {
        advanceTo(nowMs);
        values[(int) Math.floorMod(newestBucket, (long) values.length)] += amount;
    }

    /** Raises the current bucket to the amount if that is higher. */
    public void recordMax(double nowMs, double amount) {
        advanceTo(nowMs);
        int i = (int) Math.floorMod(newestBucket, (long) values.length);
        values[i] = Math.max(values[i], amount);
    }

    /** The maximum over the buckets of the window. */
    public double max(double nowMs) {
        advanceTo(nowMs);
        return Arrays.stream(values).max().getAsDouble();
    }

    /** The sum over the window, including the current bucket. */
    public double sum(double nowMs) {
        advanceTo(nowMs);
        double sum = 0;
        for (double part : values) {
            sum += part;
        }
        return sum;
    }

    /** The duration of the window. */
    public double spanMs() {
        return bucketMs * values.length;
    }

    /** Resets all buckets to 0. */
    public void clear() {
        Arrays.fill(values, 0);
    }

    private void advanceTo(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= values.length) {
            clear();
            newestBucket = bucket;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            values[(int) Math.floorMod(newestBucket, (long) values.length)] = 0;
        }
    }
}
