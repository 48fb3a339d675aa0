package larchridge.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import larchridge.state.Generation;

/**
 * Decides in which order generations that wait for a reader are sent, and which are given up.
 *
 * <p>Guards against: under overload, first-come-first-served order makes every generation miss its
 * SLO by a little. Generations with the highest revenue are admitted first, the newest first among
 * equals, and those that can no longer meet their SLO are given up.
 */
final class AdmissionQueue {
    /** Minimum interval at which an idle router sends a generation that is estimated too late. */
    private static final double LATE_SEND_INTERVAL_MS = 2000;

    /** Maximum number of waiting generations tried per pass, in admission order. */
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
    private double lastLateSendMs;

    /**
     * Creates a queue over the generations of a router.
     *
     * @param openGenerations all generations of the router that are not finished or still have
     *     attempts in flight
     * @param admit tries to send a waiting generation
     * @param giveUpAsLate gives up a generation that can no longer meet its SLO
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

    /** Tries to send waiting generations in order and gives up those that are too late. */
    void admitWaiting() {
        List<Generation> waiting = new ArrayList<>(openGenerations);
        waiting.removeIf(generation -> !generation.isWaiting());
        waiting.sort(BY_REVENUE_THEN_NEWEST);
        double nowMs = actions.nowMs();
        double msPerToken = latency.bestMsPerToken(nowMs);
        int tried = 0;
        for (Generation generation : waiting) {
            boolean late = isLate(generation, msPerToken, nowMs);
            if (late && maySendLate(nowMs)) {
                lastLateSendMs = nowMs;
                latency.resetSlowEstimates();
                msPerToken = latency.bestMsPerToken(nowMs);
                late = false;
            }
            if (late) {
                giveUpAsLate.accept(generation);
            } else if (tried++ < MAX_TRIED_PER_PASS) {
                // Guards against: thousands of waiting generations, all tried whenever an attempt
                // ends, would keep the event loop busy.
                admit.accept(generation);
            }
        }
    }

    private boolean isLate(Generation generation, double msPerToken, double nowMs) {
        return nowMs + generation.minTokensToRead() * msPerToken + latency.firstTokenMs()
                > generation.sloDeadlineMs();
    }

    /**
     * Whether a generation that looks too late may be sent anyway.
     *
     * <p>Guards against: after a slow period every generation is estimated too late and given up,
     * so nothing is sent that could correct the estimates and all generations are rejected. With no
     * attempt in flight the estimates are outdated and are reset.
     */
    private boolean maySendLate(double nowMs) {
        return nowMs > lastLateSendMs + LATE_SEND_INTERVAL_MS
                && openGenerations.stream()
                        .allMatch(generation -> generation.attemptsInFlight() == 0);
    }

    private static double revenue(Generation generation) {
        return generation.trafficClass.revenue
                * (generation.clientRetry ? generation.trafficClass.lateRevenue : 1);
    }
}
