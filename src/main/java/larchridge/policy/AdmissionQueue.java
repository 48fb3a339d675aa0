package larchridge.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import larchridge.state.Generation;

/**
 * The order in which waiting generations are admitted when readers are short.
 *
 * <p>Guards against: first come, first served under shortage serves everyone just too late. The
 * most revenue for its work goes first, the newest first among equals, and what can no longer make
 * its SLO time is given up.
 */
final class AdmissionQueue {
    /** How often a router with nothing in flight tries one that looks too late, in milliseconds. */
    private static final double LATE_RETRY_INTERVAL_MS = 2000;

    /** Of those that wait, so many are tried at a time, the first in order. */
    private static final int MAX_TRIED_PER_PASS = 100;

    private static final Comparator<Generation> BY_REVENUE_THEN_NEWEST =
            Comparator.comparingDouble(AdmissionQueue::revenue)
                    .thenComparingDouble(generation -> generation.arrivedMs)
                    .reversed();

    private final PolicyActions actions;
    private final LatencyEstimator latency;
    private final List<Generation> openGenerations;
    private final Consumer<Generation> admit;
    private final Consumer<Generation> giveUpAsLate;
    private double lastLateRetryMs;

    /**
     * A queue over the generations of a router.
     *
     * @param open all its generations that are not over
     * @param admit tries to send one that has waited
     * @param giveUpAsLate gives up one that can no longer make its SLO time
     */
    AdmissionQueue(
            PolicyActions actions,
            LatencyEstimator latency,
            List<Generation> openGenerations,
            Consumer<Generation> admit,
            Consumer<Generation> giveUpAsLate) {
        this.actions = actions;
        this.latency = latency;
        this.openGenerations = openGenerations;
        this.admit = admit;
        this.giveUpAsLate = giveUpAsLate;
    }

    /** Tries those that wait, in order, and gives up those that are too late. */
    void admitWaiting() {
        List<Generation> waiting = new ArrayList<>(openGenerations);
        waiting.removeIf(generation -> !generation.isWaiting());
        waiting.sort(BY_REVENUE_THEN_NEWEST);
        double nowMs = actions.nowMs();
        double msPerToken = latency.bestMsPerToken(nowMs);
        int tried = 0;
        for (Generation generation : waiting) {
            boolean late = isLate(generation, msPerToken, nowMs);
            if (late && mayRetryLate(nowMs)) {
                lastLateRetryMs = nowMs;
                latency.resetSlowEstimates();
                msPerToken = latency.bestMsPerToken(nowMs);
                late = false;
            }
            if (late) {
                giveUpAsLate.accept(generation);
            } else if (tried++ < MAX_TRIED_PER_PASS) {
                // Guards against: thousands that wait, all tried whenever an attempt ends, keep the
                // loop busy.
                admit.accept(generation);
            }
        }
    }

    private boolean isLate(Generation generation, double msPerToken, double nowMs) {
        return nowMs + generation.minTokensToRead() * msPerToken + latency.firstTokenMs()
                > generation.sloDeadlineMs();
    }

    /**
     * Guards against: once all was slow, all is given up, and nothing is sent that could show that
     * it no longer is: everyone would be rejected. With nothing in flight, what is known is void.
     */
    private boolean mayRetryLate(double nowMs) {
        return nowMs > lastLateRetryMs + LATE_RETRY_INTERVAL_MS
                && openGenerations.stream().allMatch(generation -> generation.attemptsInFlight() == 0);
    }

    private static double revenue(Generation generation) {
        return generation.trafficClass.revenue
                * (generation.clientRetry ? generation.trafficClass.lateRevenue : 1);
    }
}
