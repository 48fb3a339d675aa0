package larchridge.state;

/** Sums over fixed buckets of time, used again in a ring. */
public final class SlidingWindow {
    private final double bucketMs;
    private final double[] sums;
    private long newest = Long.MIN_VALUE;

    public SlidingWindow(int buckets, double bucketMs) {
        this.bucketMs = bucketMs;
        this.sums = new double[buckets];
    }

    public void add(double nowMs, double amount) {
        turnTo(nowMs);
        sums[(int) Math.floorMod(newest, (long) sums.length)] += amount;
    }

    /** Keeps the highest amount of the running bucket. */
    public void addMax(double nowMs, double amount) {
        turnTo(nowMs);
        int i = (int) Math.floorMod(newest, (long) sums.length);
        sums[i] = Math.max(sums[i], amount);
    }

    /** The highest bucket of the last full span of the ring. */
    public double max(double nowMs) {
        turnTo(nowMs);
        return java.util.Arrays.stream(sums).max().getAsDouble();
    }

    /** The sum over the last full span of the ring, the running bucket included. */
    public double sum(double nowMs) {
        turnTo(nowMs);
        double sum = 0;
        for (double part : sums) {
            sum += part;
        }
        return sum;
    }

    public double spanMs() {
        return bucketMs * sums.length;
    }

    public void clear() {
        java.util.Arrays.fill(sums, 0);
    }

    private void turnTo(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (newest == Long.MIN_VALUE || bucket - newest >= sums.length) {
            clear();
            newest = bucket;
        }
        while (newest < bucket) {
            newest++;
            sums[(int) Math.floorMod(newest, (long) sums.length)] = 0;
        }
    }
}
