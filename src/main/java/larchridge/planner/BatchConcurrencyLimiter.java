package larchridge.planner;

import larchridge.state.SlidingWindow;

/**
 * Limits how much batch work may be open at a time, so that it uses only the capacity that
 * interactive requests leave. Work is counted in lines of mean size.
 *
 * <p>The limit follows the CUBIC congestion control algorithm: on congestion it is multiplied by a
 * factor, then grows quickly to just under the level at which congestion occurred, stays near it
 * for a while and only then probes higher. Unlike with plain additive increase it spends most of
 * its time near the capacity, so that its oscillations stay small. Until the first congestion it
 * grows by a quarter twice a second. It does not grow while it is not used.
 *
 * <p>Signs of congestion are a first-token latency above its baseline with little batch work, a
 * long wait for a reader, a batch line that was throttled, and an overload failure: an interactive
 * request that was throttled or exceeded its time limit. The last also pauses all batch work, for a
 * time that doubles when it happens again soon. Free of I/O, clocks and threads.
 */
public final class BatchConcurrencyLimiter {
    private static final double INITIAL_LIMIT = 2;
    private static final double DECREASE_FACTOR = 0.6;
    private static final double OVERLOAD_FAILURE_DECREASE_FACTOR = 0.25;

    /** The factor on the expected congestion limit when the limit is decreased again soon. */
    private static final double REPEATED_DECREASE_FACTOR = 0.9;

    /**
     * The coefficient C of CUBIC's growth curve, per unit of the expected congestion limit L: t
     * seconds after the start of the curve the limit is L * (1 + C * (t - {@link #RECOVERY_S})^3).
     */
    private static final double CUBIC_GROWTH_PER_S3 = 0.004;

    /**
     * The time after which the growth curve reaches the expected congestion limit (CUBIC's K); does
     * not depend on how high that is.
     */
    private static final double RECOVERY_S = Math.cbrt((1 - DECREASE_FACTOR) / CUBIC_GROWTH_PER_S3);

    private static final double INITIAL_GROWTH_FACTOR = 1.25;
    private static final double INCREASE_INTERVAL_MS = 500;

    /** The limit grows only if at least this share of it was in use. */
    private static final double MIN_USED_SHARE = 0.8;

    private static final double INITIAL_PAUSE_MS = 1000;
    private static final double MAX_PAUSE_MS = 16_000;

    /**
     * A decrease within this time after the last one, or an overload failure within this time after
     * the end of the last pause, counts as repeated.
     */
    private static final double REPEAT_WITHIN_MS = 10_000;

    /**
     * How much the first-token latency may exceed its baseline, as a factor and additionally as a
     * share of the SLO time, before it counts as congestion.
     */
    private static final double LATENCY_TOLERANCE_FACTOR = 1.25;

    private static final double LATENCY_TOLERANCE_SLO_SHARE = 0.1;

    /** A longer wait for a reader counts as congestion. */
    private static final double MAX_WAIT_SLO_SHARE = 0.25;

    private static final double LATENCY_QUANTILE = 0.9;

    /** A window with fewer first tokens is not evaluated. */
    private static final int MIN_FIRST_TOKENS = 8;

    /** A window with this many first tokens is evaluated before its end. */
    private static final int EARLY_EVALUATION_FIRST_TOKENS = 50;

    private static final int WINDOW_MS = 2000;
    private static final double MIN_DECREASE_INTERVAL_MS = 1000;

    /** The number of recent windows from which the baseline latency is taken. */
    private static final int BASELINE_WINDOWS = 150;

    private final double maxLimit;
    private double limit = INITIAL_LIMIT;

    /** The limit at which congestion is expected (CUBIC's W_max); infinite until it occurs. */
    private double expectedCongestionLimit = Double.POSITIVE_INFINITY;

    /**
     * The start of the growth curve: the last decrease or the end of the last pause. While the
     * limit is not used it is moved forward, so that the curve does not pass the expected
     * congestion limit.
     */
    private double growthStartMs = Double.NEGATIVE_INFINITY;

    private double lastDecreaseMs = Double.NEGATIVE_INFINITY;
    private double lastIncreaseCheckMs;
    private double pausedUntilMs;
    private double pauseMs;

    /**
     * The most work that was open since the last check or change of the limit, in lines of mean
     * size.
     */
    private double peakOpenWork;

    private double windowStartMs = Double.NaN;
    private final int[] firstTokenCounts = new int[LatencySample.BUCKETS];

    /**
     * One {@link #LATENCY_QUANTILE} quantile of the first-token latency for each recent window, as
     * a share of the SLO time. Low ones are taken to be from windows with little batch work and
     * give the baseline. NaN where there has been no window yet.
     */
    private final double[] windowLatencies = new double[BASELINE_WINDOWS];

    private int windowCount;

    /** Decreases in the last minute, in buckets of 10 s. */
    private final SlidingWindow decreases = new SlidingWindow(6, 10_000);

    /** A limiter whose limit never exceeds this many lines. */
    public BatchConcurrencyLimiter(double maxLimit) {
        this.maxLimit = maxLimit;
        java.util.Arrays.fill(windowLatencies, Double.NaN);
    }

    /** How many lines of mean size may be open now; 0 during a pause. */
    public double limit(double nowMs) {
        return nowMs < pausedUntilMs ? 0 : limit;
    }

    /** Records how many lines of mean size are open now. */
    public void recordOpenWork(double openWork) {
        peakOpenWork = Math.max(peakOpenWork, openWork);
    }

    /** Adds what one router's interactive requests experienced since its last sample. */
    public void addSample(LatencySample sample, double nowMs) {
        if (Double.isNaN(windowStartMs)) {
            windowStartMs = nowMs;
            lastIncreaseCheckMs = nowMs;
        }
        for (int i = 0; i < firstTokenCounts.length; i++) {
            firstTokenCounts[i] += sample.firstTokenCounts[i];
        }
        if (sample.overloadFailures > 0) {
            pauseAfterOverloadFailure(nowMs);
        } else if (sample.longestWaitShareOfSlo > MAX_WAIT_SLO_SHARE) {
            decrease(DECREASE_FACTOR, nowMs);
        }
        int totalFirstTokens = java.util.Arrays.stream(firstTokenCounts).sum();
        if (nowMs >= windowStartMs + WINDOW_MS
                || totalFirstTokens >= EARLY_EVALUATION_FIRST_TOKENS) {
            evaluateWindow(totalFirstTokens, nowMs);
        }
        increase(nowMs);
    }

    /** Records that the engines had no capacity for a batch line. */
    public void recordBatchThrottled(double nowMs) {
        decrease(DECREASE_FACTOR, nowMs);
    }

    /** How often the limit was decreased in the last minute. */
    public double decreasesPerMinute(double nowMs) {
        return decreases.sum(nowMs);
    }

    private void evaluateWindow(int totalFirstTokens, double nowMs) {
        windowStartMs = nowMs;
        if (totalFirstTokens >= MIN_FIRST_TOKENS) {
            double windowLatency = latencyQuantile(totalFirstTokens);
            windowLatencies[windowCount++ % BASELINE_WINDOWS] = windowLatency;
            // The lower quartile; the minimum alone would be an outlier.
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

    /** The upper bound of the bucket that contains the quantile, as a share of the SLO time. */
    private double latencyQuantile(int totalFirstTokens) {
        int firstTokensAbove = (int) Math.floor((1 - LATENCY_QUANTILE) * totalFirstTokens);
        int bucket = firstTokenCounts.length - 1;
        for (int remaining = firstTokensAbove - firstTokenCounts[bucket];
                remaining >= 0 && bucket > 0;
                remaining -= firstTokenCounts[bucket]) {
            bucket--;
        }
        return (bucket + 1) * LatencySample.BUCKET_SLO_SHARE;
    }

    private void pauseAfterOverloadFailure(double nowMs) {
        if (nowMs < pausedUntilMs || peakOpenWork == 0) {
            // Guards against: overload failures while no batch work is open have other causes, and
            // would keep batch work paused forever.
            return;
        }
        boolean isRepeated = nowMs < pausedUntilMs + REPEAT_WITHIN_MS && pauseMs > 0;
        pauseMs = isRepeated ? Math.min(MAX_PAUSE_MS, 2 * pauseMs) : INITIAL_PAUSE_MS;
        decrease(OVERLOAD_FAILURE_DECREASE_FACTOR, nowMs);
        pausedUntilMs = nowMs + pauseMs;
        growthStartMs = pausedUntilMs;
        lastIncreaseCheckMs = pausedUntilMs;
        peakOpenWork = 0;
    }

    /**
     * Multiplies the limit by a factor and updates the expected congestion limit. Does nothing
     * before {@link #MIN_DECREASE_INTERVAL_MS} after the start of the growth curve.
     */
    private void decrease(double factor, double nowMs) {
        // Guards against: all routers report the same congestion; only the first report decreases
        // the limit.
        if (nowMs < growthStartMs + MIN_DECREASE_INTERVAL_MS) {
            return;
        }
        decreases.add(nowMs, 1);
        // Congestion below the expected congestion limit means that there is less capacity than
        // when that was set, so it moves to halfway between the old and the new limit. A decrease
        // soon after another lowers it only slightly. Guards against: a burst of other traffic
        // causes several decreases in a row, which say little about capacity; if each lowered it
        // halfway, the limit would take minutes to recover.
        if (limit >= expectedCongestionLimit) {
            expectedCongestionLimit = limit;
        } else {
            expectedCongestionLimit =
                    nowMs < lastDecreaseMs + REPEAT_WITHIN_MS
                            ? REPEATED_DECREASE_FACTOR * expectedCongestionLimit
                            : limit * (1 + factor) / 2;
        }
        lastDecreaseMs = nowMs;
        limit = Math.max(1, limit * factor);
        growthStartMs = nowMs;
        lastIncreaseCheckMs = nowMs;
        peakOpenWork = 0;
    }

    private void increase(double nowMs) {
        if (nowMs < lastIncreaseCheckMs + INCREASE_INTERVAL_MS || nowMs < pausedUntilMs) {
            return;
        }
        lastIncreaseCheckMs = nowMs;
        if (peakOpenWork >= MIN_USED_SHARE * Math.floor(limit)) {
            if (expectedCongestionLimit == Double.POSITIVE_INFINITY) {
                limit *= INITIAL_GROWTH_FACTOR;
            } else {
                double sinceRecoveryS = (nowMs - growthStartMs) / 1000 - RECOVERY_S;
                limit =
                        Math.max(
                                limit,
                                expectedCongestionLimit
                                        * (1
                                                + CUBIC_GROWTH_PER_S3
                                                        * sinceRecoveryS
                                                        * sinceRecoveryS
                                                        * sinceRecoveryS));
            }
            limit = Math.min(maxLimit, limit);
        } else {
            // Time in which the limit is not used counts as growth time up to RECOVERY_S at most,
            // so that the curve stays at the expected congestion limit. Guards against: the limit
            // would jump past that as soon as it is used again.
            growthStartMs = Math.max(growthStartMs, nowMs - 1000 * RECOVERY_S);
        }
        peakOpenWork = 0;
    }
}
