package larchridge.audit;

import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.upstream.Endpoint;

/**
 * Checks the engine that an attempt is sent to: its drain grace period and its slow-start budget.
 */
final class EndpointAudit {
    private static final int MAX_STOPPED_ENDPOINTS = 20_000;

    private final AuditSettings settings;
    private final Violations violations;
    private final SlowStartBudgetAudit slowStartBudget;
    private Map<Endpoint, AuditedEngine> engines = Map.of();

    /**
     * When each engine first appeared as draining, or was first missing from the list; oldest
     * first.
     */
    private final Map<Endpoint, Double> stoppedServingMs = new LinkedHashMap<>();

    EndpointAudit(AuditSettings settings, Violations violations, double nowMs) {
        this.settings = settings;
        this.violations = violations;
        slowStartBudget = new SlowStartBudgetAudit(settings, nowMs);
    }

    /** Returns the engine's entry in the current endpoint list, or null if it is not listed. */
    AuditedEngine engineAt(Endpoint endpoint) {
        return engines.get(endpoint);
    }

    /** Replaces the endpoint list. */
    void endpointsChanged(Map<Endpoint, AuditedEngine> listed, double nowMs) {
        engines.forEach(
                (endpoint, engine) -> {
                    AuditedEngine newer = listed.get(endpoint);
                    if (engine.serving() && (newer == null || !newer.serving())) {
                        stoppedServingMs.putIfAbsent(endpoint, nowMs);
                    }
                });
        listed.forEach(
                (endpoint, engine) -> {
                    if (engine.serving()) {
                        stoppedServingMs.remove(endpoint);
                    } else {
                        stoppedServingMs.putIfAbsent(endpoint, nowMs);
                    }
                });
        while (stoppedServingMs.size() > MAX_STOPPED_ENDPOINTS) {
            stoppedServingMs.remove(stoppedServingMs.keySet().iterator().next());
        }
        engines = Map.copyOf(listed);
        slowStartBudget.retainListed(engines);
    }

    /**
     * Checks an attempt that is being sent; {@code request} is null if the request is not tracked.
     */
    void checkSend(String requestId, AuditedRequest request, Endpoint endpoint, double nowMs) {
        AuditedEngine engine = engines.get(endpoint);
        Double stoppedMs = stoppedServingMs.get(endpoint);
        if (stoppedMs == null && engine == null) {
            report(
                    Invariant.NO_SEND_PAST_DRAIN_GRACE,
                    requestId,
                    request,
                    "sent to " + endpoint + ", which is not in the endpoint list");
        } else if (stoppedMs != null && nowMs > stoppedMs + settings.drainGraceMs()) {
            report(
                    Invariant.NO_SEND_PAST_DRAIN_GRACE,
                    requestId,
                    request,
                    "sent to "
                            + endpoint
                            + " "
                            + Math.round(nowMs - stoppedMs)
                            + " ms after it started draining or was removed");
        }
        if (engine != null
                && !slowStartBudget.recordAndCheckSend(endpoint, engine, engines, nowMs)) {
            report(
                    Invariant.SLOW_START_BUDGET,
                    requestId,
                    request,
                    "slow-start budget exceeded for " + endpoint + ", which is warming up");
        }
    }

    private void report(
            Invariant invariant, String requestId, AuditedRequest request, String problem) {
        violations.report(
                invariant, requestId, problem, request == null ? null : request.recentEvents());
    }
}
