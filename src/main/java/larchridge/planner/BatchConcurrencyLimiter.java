package larchridge.planner;

import larchridge.state.SlidingWindow;

/**
 * How much batch work may be open at a time so that it lives in the gaps of the other work. Work is
 * counted in mean lines.
 *
 * <p>The law is the cubic one of congestion control: after trouble the limit falls by a factor,
 * comes back quickly to just under where the trouble came, stays near that for a while and only
 * then tries for more. Beside plain additive increase it spends most of its time near what can be
 * carried, so that its swings stay small. Before there has been any trouble it grows by a quarter
 * twice a second. It does not grow while it is not used. Trouble is a first token later than first
 * tokens are where there is little batch work, a wait for readers, or a generation turned away; the
 * last closes the gap for a while, longer each time that it comes again soon. Without I/O, clock or
 * threads.
 */
public final class BatchConcurrencyLimiter {
    private static final double INITIAL_LIMIT = 2;
    private static final double DECREASE_FACTOR = 0.6;
    private static final double REJECTION_DECREASE_FACTOR = 0.25;

    /** What the ceiling is lowered to by a fall soon after another. */
    private static final double REPEATED_DECREASE_FACTOR = 0.9;

    /**
     * Of the ceiling; it is back there after the third root of (1 - FALL) / this seconds, whatever
     * its size.
     */
    private static final double CUBIC_GROWTH_PER_S3 = 0.004;

    private static final double RECOVERY_S = Math.cbrt((1 - DECREASE_FACTOR) / CUBIC_GROWTH_PER_S3);
    private static final double INITIAL_GROWTH_FACTOR = 1.25;
    private static final double INCREASE_INTERVAL_MS = 500;
    private static final double MIN_USED_SHARE = 0.8;
    private static final double INITIAL_PAUSE_MS = 1000;
    private static final double MAX_PAUSE_MS = 16_000;
    private static final double REPEAT_WITHIN_MS = 10_000;

    /**
     * First tokens may come so much later, as a factor and as a share of the SLO time, before that
     * is trouble.
     */
    private static final double LATENCY_TOLERANCE_FACTOR = 1.25;

    private static final double LATENCY_TOLERANCE_SLO_SHARE = 0.1;
    private static final double MAX_WAIT_SLO_SHARE = 0.25;
    private static final double LATENCY_QUANTILE = 0.9;
    private static final int MIN_SAMPLES = 8;

    /** With so many first tokens a window is judged before its time. */
    private static final int EARLY_EVALUATION_SAMPLES = 50;

    private static final int WINDOW_MS = 2000;
    private static final double MIN_DECREASE_INTERVAL_MS = 1000;
    private static final int BASELINE_WINDOWS = 150;

    private final double maxLimit;
    private double limit = INITIAL_LIMIT;

    /** Where trouble came last; infinite until it has. */
    private double ceiling = Double.POSITIVE_INFINITY;

    private double growthStartMs = Double.NEGATIVE_INFINITY;
    private double lastDecreaseMs = Double.NEGATIVE_INFINITY;
    private double lastIncreaseCheckMs;
    private double pausedUntilMs;
    private double pauseMs;
    private double peakOpenLines;
    private double windowStartMs = Double.NaN;
    private final int[] firstTokenCounts = new int[LatencySample.BUCKETS];

    /**
     * What first tokens were in each window of late: the lowest is what they are without batch
     * work.
     */
    private final double[] windowLatencies = new double[BASELINE_WINDOWS];

    private int windowCount;

    /** Times that it fell, by 10 s. */
    private final SlidingWindow decreases = new SlidingWindow(6, 10_000);

    public BatchConcurrencyLimiter(double maxLimit) {
        this.maxLimit = maxLimit;
        java.util.Arrays.fill(windowLatencies, Double.NaN);
    }

    /** How much may be open now, in mean lines. */
    public double limit(double nowMs) {
        return nowMs < pausedUntilMs ? 0 : limit;
    }

    /** So much is open now. */
    public void recordOpenLines(double openLines) {
        peakOpenLines = Math.max(peakOpenLines, openLines);
    }

    /** What one front's other work felt in the time since it was told last. */
    public void addSample(LatencySample sample, double nowMs) {
        if (Double.isNaN(windowStartMs)) {
            windowStartMs = nowMs;
            lastIncreaseCheckMs = nowMs;
        }
        for (int i = 0; i < firstTokenCounts.length; i++) {
            firstTokenCounts[i] += sample.firstTokenCounts[i];
        }
        if (sample.rejections > 0) {
            pauseAfterRejection(nowMs);
        } else if (sample.longestWaitShareOfSlo > MAX_WAIT_SLO_SHARE) {
            decrease(DECREASE_FACTOR, nowMs);
        }
        int sampleCount = java.util.Arrays.stream(firstTokenCounts).sum();
        if (nowMs >= windowStartMs + WINDOW_MS || sampleCount >= EARLY_EVALUATION_SAMPLES) {
            evaluateWindow(sampleCount, nowMs);
        }
        increase(nowMs);
    }

    /** Batch work itself found no room. */
    public void recordBatchThrottled(double nowMs) {
        decrease(DECREASE_FACTOR, nowMs);
    }

    /** How often it has fallen in the last minute. */
    public double decreasesPerMinute(double nowMs) {
        return decreases.sum(nowMs);
    }

    private void evaluateWindow(int sampleCount, double nowMs) {
        windowStartMs = nowMs;
        if (sampleCount >= MIN_SAMPLES) {
            double windowLatency = latencyQuantile(sampleCount);
            windowLatencies[windowCount++ % BASELINE_WINDOWS] = windowLatency;
            // The lower quarter: the lowest alone is what chance has left.
            double[] sortedLatencies =
                    java.util.Arrays.stream(windowLatencies)
                            .filter(latency -> !Double.isNaN(latency))
                            .sorted()
                            .toArray();
            double baseline = sortedLatencies[sortedLatencies.length / 4];
            if (windowLatency > LATENCY_TOLERANCE_FACTOR * baseline + LATENCY_TOLERANCE_SLO_SHARE) {
                decrease(DECREASE_FACTOR, nowMs);
            }
        }
        java.util.Arrays.fill(firstTokenCounts, 0);
    }

    private double latencyQuantile(int sampleCount) {
        int samplesAbove = (int) Math.floor((1 - LATENCY_QUANTILE) * sampleCount);
        int bucket = firstTokenCounts.length - 1;
        for (int remaining = samplesAbove - firstTokenCounts[bucket]; remaining >= 0 && bucket > 0; remaining -= firstTokenCounts[bucket]) {
            bucket--;
        }
        return (bucket + 1) * LatencySample.BUCKET_SLO_SHARE;
    }

    private void pauseAfterRejection(double nowMs) {
        if (nowMs < pausedUntilMs || peakOpenLines == 0) {
            // Guards against: while nothing of ours is open, trouble of others would keep the gap
            // closed
            // for ever.
            return;
        }
        boolean isRepeated = nowMs < pausedUntilMs + REPEAT_WITHIN_MS && pauseMs > 0;
        pauseMs = isRepeated ? Math.min(MAX_PAUSE_MS, 2 * pauseMs) : INITIAL_PAUSE_MS;
        decrease(REJECTION_DECREASE_FACTOR, nowMs);
        pausedUntilMs = nowMs + pauseMs;
        growthStartMs = pausedUntilMs;
        lastIncreaseCheckMs = pausedUntilMs;
        peakOpenLines = 0;
    }

    /**
     * Guards against: one trouble is told by all fronts; only the first to tell makes the limit
     * fall.
     */
    private void decrease(double factor, double nowMs) {
        if (nowMs < growthStartMs + MIN_DECREASE_INTERVAL_MS) {
            return;
        }
        decreases.add(nowMs, 1);
        // A fall under the last ceiling says that there is less to be had than then. Guards
        // against: a
        // storm of others is a row of
        // falls that say little of that; if each lowered the ceiling so far, the gap would take
        // minutes to open again.
        if (limit >= ceiling) {
            ceiling = limit;
        } else {
            ceiling = nowMs < lastDecreaseMs + REPEAT_WITHIN_MS ? REPEATED_DECREASE_FACTOR * ceiling : limit * (1 + factor) / 2;
        }
        lastDecreaseMs = nowMs;
        limit = Math.max(1, limit * factor);
        growthStartMs = nowMs;
        lastIncreaseCheckMs = nowMs;
        peakOpenLines = 0;
    }

    private void increase(double nowMs) {
        if (nowMs < lastIncreaseCheckMs + INCREASE_INTERVAL_MS || nowMs < pausedUntilMs) {
            return;
        }
        lastIncreaseCheckMs = nowMs;
        if (peakOpenLines >= MIN_USED_SHARE * Math.floor(limit)) {
            if (ceiling == Double.POSITIVE_INFINITY) {
                limit *= INITIAL_GROWTH_FACTOR;
            } else {
                double sinceRecoveryS = (nowMs - growthStartMs) / 1000 - RECOVERY_S;
                limit = Math.max(limit, ceiling * (1 + CUBIC_GROWTH_PER_S3 * sinceRecoveryS * sinceRecoveryS * sinceRecoveryS));
            }
            limit = Math.min(maxLimit, limit);
        } else {
            // Guards against: time in which the limit was not tried would let it leap when it is.
            growthStartMs = Math.max(growthStartMs, nowMs - 1000 * RECOVERY_S);
        }
        peakOpenLines = 0;
    }
}
