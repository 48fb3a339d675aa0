package larchridge.state;

import java.util.Arrays;

/** Sums over the last span of time, in fixed buckets that are reused as a ring. */
public final class SlidingWindow {
    private final double bucketMs;
    private final double[] sums;
    private long newestBucket = Long.MIN_VALUE;

    /** A window of so many buckets of so many milliseconds each. */
    public SlidingWindow(int buckets, double bucketMs) {
        this.bucketMs = bucketMs;
        this.sums = new double[buckets];
    }

    /** Adds an amount to the running bucket. */
    public void add(double nowMs, double amount) {
        advanceTo(nowMs);
        sums[(int) Math.floorMod(newestBucket, (long) sums.length)] += amount;
    }

    /** Keeps the highest amount of the running bucket. */
    public void addMax(double nowMs, double amount) {
        advanceTo(nowMs);
        int i = (int) Math.floorMod(newestBucket, (long) sums.length);
        sums[i] = Math.max(sums[i], amount);
    }

    /** The highest bucket of the window. */
    public double max(double nowMs) {
        advanceTo(nowMs);
        return Arrays.stream(sums).max().getAsDouble();
    }

    /** The sum over the window, the running bucket included. */
    public double sum(double nowMs) {
        advanceTo(nowMs);
        double sum = 0;
        for (double part : sums) {
            sum += part;
        }
        return sum;
    }

    /** The span of time that counts. */
    public double spanMs() {
        return bucketMs * sums.length;
    }

    /** Forgets all amounts. */
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
