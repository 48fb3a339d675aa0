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
    private static final double FIRST = 2;
    private static final double FALL = 0.6;
    private static final double HARD_FALL = 0.25;

    /** What the ceiling is lowered to by a fall soon after another. */
    private static final double ROW_FALL = 0.9;

    /**
     * Of the ceiling; it is back there after the third root of (1 - FALL) / this seconds, whatever
     * its size.
     */
    private static final double GROWTH_PER_S3 = 0.004;

    private static final double BACK_S = Math.cbrt((1 - FALL) / GROWTH_PER_S3);
    private static final double START_GROWTH = 1.25;
    private static final double STEP_MS = 500;
    private static final double USED = 0.8;
    private static final double CLOSED_MS = 1000;
    private static final double CLOSED_MOST_MS = 16_000;
    private static final double SOON_MS = 10_000;

    /**
     * First tokens may come so much later, as a factor and as a share of the SLO time, before that
     * is trouble.
     */
    private static final double LATER_FACTOR = 1.25;

    private static final double LATER_SHARE = 0.1;
    private static final double WAIT_SHARE = 0.25;
    private static final double HIGH = 0.9;
    private static final int LEAST_SEEN = 8;

    /** With so many first tokens a window is judged before its time. */
    private static final int ENOUGH_SEEN = 50;

    private static final int WINDOW_MS = 2000;
    private static final double APART_MS = 1000;
    private static final int USUAL_SPANS = 150;

    private final double most;
    private double limit = FIRST;

    /** Where trouble came last; infinite until it has. */
    private double ceiling = Double.POSITIVE_INFINITY;

    private double fellMs = Double.NEGATIVE_INFINITY;
    private double lastFallMs = Double.NEGATIVE_INFINITY;
    private double steppedMs;
    private double closedUntilMs;
    private double closedForMs;
    private double peak;
    private double windowMs = Double.NaN;
    private final int[] seen = new int[LatencySample.PARTS];

    /**
     * What first tokens were in each window of late: the lowest is what they are without batch
     * work.
     */
    private final double[] usual = new double[USUAL_SPANS];

    private int windows;

    /** Times that it fell, by 10 s. */
    private final SlidingWindow falls = new SlidingWindow(6, 10_000);

    public BatchConcurrencyLimiter(double most) {
        this.most = most;
        java.util.Arrays.fill(usual, Double.NaN);
    }

    /** How much may be open now, in mean lines. */
    public double limit(double nowMs) {
        return nowMs < closedUntilMs ? 0 : limit;
    }

    /** So much is open now. */
    public void open(double lines) {
        peak = Math.max(peak, lines);
    }

    /** What one front's other work felt in the time since it was told last. */
    public void felt(LatencySample feeling, double nowMs) {
        if (Double.isNaN(windowMs)) {
            windowMs = nowMs;
            steppedMs = nowMs;
        }
        for (int i = 0; i < seen.length; i++) {
            seen[i] += feeling.firstTokens[i];
        }
        if (feeling.turnedAway > 0) {
            turnedAway(nowMs);
        } else if (feeling.longestWait > WAIT_SHARE) {
            fall(FALL, nowMs);
        }
        int count = java.util.Arrays.stream(seen).sum();
        if (nowMs >= windowMs + WINDOW_MS || count >= ENOUGH_SEEN) {
            judge(count, nowMs);
        }
        step(nowMs);
    }

    /** Batch work itself found no room. */
    public void crowded(double nowMs) {
        fall(FALL, nowMs);
    }

    /** How often it has fallen in the last minute. */
    public double fallsAMinute(double nowMs) {
        return falls.sum(nowMs);
    }

    private void judge(int count, double nowMs) {
        windowMs = nowMs;
        if (count >= LEAST_SEEN) {
            double high = high(count);
            usual[windows++ % USUAL_SPANS] = high;
            // The lower quarter: the lowest alone is what chance has left.
            double[] known =
                    java.util.Arrays.stream(usual)
                            .filter(one -> !Double.isNaN(one))
                            .sorted()
                            .toArray();
            double base = known[known.length / 4];
            if (high > LATER_FACTOR * base + LATER_SHARE) {
                fall(FALL, nowMs);
            }
        }
        java.util.Arrays.fill(seen, 0);
    }

    private double high(int count) {
        int over = (int) Math.floor((1 - HIGH) * count);
        int i = seen.length - 1;
        for (int left = over - seen[i]; left >= 0 && i > 0; left -= seen[i]) {
            i--;
        }
        return (i + 1) * LatencySample.PART;
    }

    private void turnedAway(double nowMs) {
        if (nowMs < closedUntilMs || peak == 0) {
            // Guards against: while nothing of ours is open, trouble of others would keep the gap
            // closed
            // for ever.
            return;
        }
        boolean soon = nowMs < closedUntilMs + SOON_MS && closedForMs > 0;
        closedForMs = soon ? Math.min(CLOSED_MOST_MS, 2 * closedForMs) : CLOSED_MS;
        fall(HARD_FALL, nowMs);
        closedUntilMs = nowMs + closedForMs;
        fellMs = closedUntilMs;
        steppedMs = closedUntilMs;
        peak = 0;
    }

    /**
     * Guards against: one trouble is told by all fronts; only the first to tell makes the limit
     * fall.
     */
    private void fall(double factor, double nowMs) {
        if (nowMs < fellMs + APART_MS) {
            return;
        }
        falls.add(nowMs, 1);
        // A fall under the last ceiling says that there is less to be had than then. Guards
        // against: a
        // storm of others is a row of
        // falls that say little of that; if each lowered the ceiling so far, the gap would take
        // minutes to open again.
        if (limit >= ceiling) {
            ceiling = limit;
        } else {
            ceiling = nowMs < lastFallMs + SOON_MS ? ROW_FALL * ceiling : limit * (1 + factor) / 2;
        }
        lastFallMs = nowMs;
        limit = Math.max(1, limit * factor);
        fellMs = nowMs;
        steppedMs = nowMs;
        peak = 0;
    }

    private void step(double nowMs) {
        if (nowMs < steppedMs + STEP_MS || nowMs < closedUntilMs) {
            return;
        }
        steppedMs = nowMs;
        if (peak >= USED * Math.floor(limit)) {
            if (ceiling == Double.POSITIVE_INFINITY) {
                limit *= START_GROWTH;
            } else {
                double s = (nowMs - fellMs) / 1000 - BACK_S;
                limit = Math.max(limit, ceiling * (1 + GROWTH_PER_S3 * s * s * s));
            }
            limit = Math.min(most, limit);
        } else {
            // Guards against: time in which the limit was not tried would let it leap when it is.
            fellMs = Math.max(fellMs, nowMs - 1000 * BACK_S);
        }
        peak = 0;
    }
}
