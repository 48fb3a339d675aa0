package larchridge.state;

import java.util.Arrays;

/** Sums over a sliding time window, kept in a ring of fixed-size buckets. */
public final class SlidingWindow {
    private final double bucketMs;
    private final double[] sums;
    private long newestBucket = Long.MIN_VALUE;

    /** Creates a window of the given number and duration of buckets. */
    public SlidingWindow(int buckets, double bucketMs) {
        this.bucketMs = bucketMs;
        this.sums = new double[buckets];
    }

    /** Adds an amount to the current bucket. */
    public void add(double nowMs, double amount) {
        advanceTo(nowMs);
        sums[(int) Math.floorMod(newestBucket, (long) sums.length)] += amount;
    }

    /** Raises the current bucket to the amount if that is higher. */
    public void addMax(double nowMs, double amount) {
        advanceTo(nowMs);
        int i = (int) Math.floorMod(newestBucket, (long) sums.length);
        sums[i] = Math.max(sums[i], amount);
    }

    /** The maximum over the buckets of the window. */
    public double max(double nowMs) {
        advanceTo(nowMs);
        return Arrays.stream(sums).max().getAsDouble();
    }

    /** The sum over the window, including the current bucket. */
    public double sum(double nowMs) {
        advanceTo(nowMs);
        double sum = 0;
        for (double part : sums) {
            sum += part;
        }
        return sum;
    }

    /** The duration of the window. */
    public double spanMs() {
        return bucketMs * sums.length;
    }

    /** Resets all buckets to 0. */
    public void clear() {
        Arrays.fill(sums, 0);
    }

    private void advanceTo(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= sums.length) {
            clear();
            newestBucket = bucket;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            sums[(int) Math.floorMod(newestBucket, (long) sums.length)] = 0;
        }
    }
}
