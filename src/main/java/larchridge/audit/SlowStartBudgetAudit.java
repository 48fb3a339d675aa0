package larchridge.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import larchridge.state.Role;
import larchridge.state.SlidingWindow;
import larchridge.upstream.Endpoint;

/**
 * Checks the sends of this node to warming engines against the node's share of their budgets. Since
 * a node sees only its own sends, its share for an overload window is the product of: the node's
 * send rate to warm engines of the role per unit of their capacity, the warming engine's capacity
 * units, the fraction of them that it has now, the overload multiple, and the window.
 *
 * <p>The share gets the allowance for random variation of the platform's rule: a warming engine
 * that is allowed N requests of mean work in its slow-start time fails with more than N + 2 *
 * sqrt(N) + 2 requests from all nodes together, or N + 3 * sqrt(N) + 3 if N is below 30.
 */
final class SlowStartBudgetAudit {
    private static final int RATE_WINDOW_SECONDS = 30;

    /** Shortest time over which the send rate is measured. */
    private static final double MIN_RATE_SPAN_MS = 1000;

    /** Budgets with fewer sends get a larger allowance for random variation. */
    private static final double SMALL_BUDGET_SENDS = 30;

    private final AuditSettings settings;
    private final double createdMs;
    private final SlidingWindow warmReaderSends = new SlidingWindow(RATE_WINDOW_SECONDS, 1000);
    private final SlidingWindow warmWriterSends = new SlidingWindow(RATE_WINDOW_SECONDS, 1000);

    /** Times of the sends to each warming engine within the overload window. */
    private final Map<Endpoint, Deque<Double>> recentSends = new HashMap<>();

    SlowStartBudgetAudit(AuditSettings settings, double nowMs) {
        this.settings = settings;
        createdMs = nowMs;
    }

    /**
     * Records a send; returns false if the engine is warming up and this node has sent it more than
     * the node's share.
     */
    boolean recordAndCheckSend(
            Endpoint endpoint,
            AuditedEngine engine,
            Map<Endpoint, AuditedEngine> engines,
            double nowMs) {
        boolean isReader = engine.role() == Role.READER;
        if (!isWarming(engine, nowMs)) {
            recentSends.remove(endpoint);
            (isReader ? warmReaderSends : warmWriterSends).add(nowMs, 1);
            return true;
        }
        Deque<Double> recent = recentSends.computeIfAbsent(endpoint, key -> new ArrayDeque<>());
        recent.addLast(nowMs);
        while (recent.peekFirst() < nowMs - settings.overloadWindowMs()) {
            recent.removeFirst();
        }
        return recent.size() <= maxSends(engine, engines, nowMs);
    }

    private double maxSends(
            AuditedEngine engine, Map<Endpoint, AuditedEngine> engines, double nowMs) {
        boolean isReader = engine.role() == Role.READER;
        double warmUnits =
                engines.values().stream()
                        .filter(AuditedEngine::serving)
                        .filter(
                                other ->
                                        (other.role() == Role.READER) == isReader
                                                && !isWarming(other, nowMs))
                        .mapToDouble(AuditedEngine::capacityUnits)
                        .sum();
        SlidingWindow warmSends = isReader ? warmReaderSends : warmWriterSends;
        double spanMs = Math.max(MIN_RATE_SPAN_MS, Math.min(warmSends.spanMs(), nowMs - createdMs));
        double ratePerUnit =
                warmSends.sum(nowMs) / spanMs / Math.max(warmUnits, engine.capacityUnits());
        double warmupFraction = Math.min(1, (nowMs - engine.startMs()) / settings.slowStartMs());
        double capacityFraction =
                settings.slowStartShare() + (1 - settings.slowStartShare()) * warmupFraction;
        double budget =
                settings.overloadMultiple()
                        * capacityFraction
                        * ratePerUnit
                        * engine.capacityUnits()
                        * settings.overloadWindowMs();
        return budget < SMALL_BUDGET_SENDS
                ? budget + 3 * Math.sqrt(budget) + 3
                : budget + 2 * Math.sqrt(budget) + 2;
    }

    private boolean isWarming(AuditedEngine engine, double nowMs) {
        return engine.startMs() > 0 && nowMs < engine.startMs() + settings.slowStartMs();
    }

    /** Removes the engines that are no longer in the endpoint list. */
    void retainListed(Map<Endpoint, AuditedEngine> engines) {
        recentSends.keySet().retainAll(engines.keySet());
    }
}
