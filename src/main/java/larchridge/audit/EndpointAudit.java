package larchridge.audit;

import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.upstream.Endpoint;

/** Checks the engine that an attempt is written to: its drain grace and its slow-start budget. */
final class EndpointAudit {
    private static final int MAX_STOPPED_ENDPOINTS = 20_000;

    private final AuditSettings settings;
    private final Violations violations;
    private final SlowStartBudgetAudit slowStartBudget;
    private Map<Endpoint, AuditedEngine> engines = Map.of();

    /** When a list first set an engine to drain, or no longer named it; the oldest first. */
    private final Map<Endpoint, Double> stoppedServingMs = new LinkedHashMap<>();

    EndpointAudit(AuditSettings settings, Violations violations, double nowMs) {
        this.settings = settings;
        this.violations = violations;
        slowStartBudget = new SlowStartBudgetAudit(settings, nowMs);
    }

    /** The engine as the newest list names it; null if it does not. */
    AuditedEngine engineAt(Endpoint endpoint) {
        return engines.get(endpoint);
    }

    /** The newest list of engines. */
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

    /** Checks a write of an attempt; the request is null if it is not followed. */
    void checkSend(String requestId, AuditedRequest request, Endpoint endpoint, double nowMs) {
        AuditedEngine engine = engines.get(endpoint);
        Double stoppedMs = stoppedServingMs.get(endpoint);
        if (stoppedMs == null && engine == null) {
            report(
                    Invariant.NO_SEND_PAST_DRAIN_GRACE,
                    requestId,
                    request,
                    "written to " + endpoint + ", which no list names");
        } else if (stoppedMs != null && nowMs > stoppedMs + settings.drainGraceMs()) {
            report(
                    Invariant.NO_SEND_PAST_DRAIN_GRACE,
                    requestId,
                    request,
                    "written to "
                            + endpoint
                            + " "
                            + Math.round(nowMs - stoppedMs)
                            + " ms after it was set to drain or removed");
        }
        if (engine != null && !slowStartBudget.recordSendWithinBudget(endpoint, engine, engines, nowMs)) {
            report(
                    Invariant.SLOW_START_BUDGET,
                    requestId,
                    request,
                    "too many to " + endpoint + ", which is warming up");
        }
    }

    private void report(
            Invariant invariant, String requestId, AuditedRequest request, String problem) {
        violations.report(
                invariant, requestId, problem, request == null ? null : request.transitions());
    }
}
