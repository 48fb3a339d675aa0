package larchridge.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import larchridge.state.Role;
import larchridge.state.SlidingWindow;
import larchridge.upstream.Endpoint;

/**
 * What this node writes to cold engines, beside its part of their budget. A node sees its own sends
 * alone: its part is the rate at which it sends to a warm engine of the role, times the multiple
 * and the share that a cold one can bear. The allowance for chance is that of the platform's rule.
 */
final class ColdBudgetAudit {
    private static final int RATE_SECONDS = 30;
    private static final double FEW = 30;

    private final AuditSettings terms;
    private final double bornMs;
    private final SlidingWindow warmReads = new SlidingWindow(RATE_SECONDS, 1000);
    private final SlidingWindow warmWrites = new SlidingWindow(RATE_SECONDS, 1000);
    private final Map<Endpoint, Deque<Double>> lateWrites = new HashMap<>();

    ColdBudgetAudit(AuditSettings terms, double nowMs) {
        this.terms = terms;
        bornMs = nowMs;
    }

    /** Counts a write; false if the engine is cold and has got more than this node's part. */
    boolean written(
            Endpoint endpoint,
            AuditedEngine engine,
            Map<Endpoint, AuditedEngine> engines,
            double nowMs) {
        boolean reads = engine.role() == Role.READER;
        if (!isCold(engine, nowMs)) {
            lateWrites.remove(endpoint);
            (reads ? warmReads : warmWrites).add(nowMs, 1);
            return true;
        }
        Deque<Double> late = lateWrites.computeIfAbsent(endpoint, key -> new ArrayDeque<>());
        late.addLast(nowMs);
        while (late.peekFirst() < nowMs - terms.tipMs()) {
            late.removeFirst();
        }
        return late.size() <= allowed(engine, engines, nowMs);
    }

    private double allowed(
            AuditedEngine engine, Map<Endpoint, AuditedEngine> engines, double nowMs) {
        boolean reads = engine.role() == Role.READER;
        double units =
                engines.values().stream()
                        .filter(AuditedEngine::serving)
                        .filter(one -> (one.role() == Role.READER) == reads && !isCold(one, nowMs))
                        .mapToDouble(AuditedEngine::units)
                        .sum();
        SlidingWindow warm = reads ? warmReads : warmWrites;
        double spanMs = Math.max(1000, Math.min(warm.spanMs(), nowMs - bornMs));
        double perUnitMs = warm.sum(nowMs) / spanMs / Math.max(units, engine.units());
        double age = Math.min(1, (nowMs - engine.startMs()) / terms.coldMs());
        double share = terms.coldShare() + (1 - terms.coldShare()) * age;
        double budget = terms.tipMultiple() * share * perUnitMs * engine.units() * terms.tipMs();
        return budget < FEW
                ? budget + 3 * Math.sqrt(budget) + 3
                : budget + 2 * Math.sqrt(budget) + 2;
    }

    private boolean isCold(AuditedEngine engine, double nowMs) {
        return engine.startMs() > 0 && nowMs < engine.startMs() + terms.coldMs();
    }

    /** Forgets engines that no list names any more. */
    void listed(Map<Endpoint, AuditedEngine> engines) {
        lateWrites.keySet().retainAll(engines.keySet());
    }
}
