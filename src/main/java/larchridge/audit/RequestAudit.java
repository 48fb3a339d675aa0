package larchridge.audit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import larchridge.state.TrafficClass;
import larchridge.upstream.Endpoint;

/**
 * Tracks every request by the events that its connections report, from its acceptance to its end,
 * and reports violations of the invariants. It keeps its own data and relies on neither the routing
 * policy nor the upstream client. All methods run on the event loop.
 */
public final class RequestAudit implements RequestEvents {
    /**
     * The platform that runs the node counts a final response up to this long after the deadline as
     * late, but not as lost.
     */
    private static final double RESPONSE_TOLERANCE_MS = 500;

    /** The platform lets a read state be held this much longer than the settings say. */
    private static final double RELEASE_TOLERANCE_MS = 300;

    /** The platform lets an attempt's timeout exceed the client's remaining time by this much. */
    private static final double ATTEMPT_TIMEOUT_TOLERANCE_MS = 150;

    /**
     * A request that is not complete this long after its final response is reported; normally its
     * attempts are cancelled, and end, much earlier.
     */
    private static final double INCOMPLETE_REQUEST_TIMEOUT_MS = 30_000;

    /** Number of completed requests that are kept, so that late events for them are detected. */
    private static final int MAX_COMPLETED_REQUESTS = 512;

    private static final int MAX_OPEN_REQUESTS = 20_000;
    private static final int NO_ATTEMPT = -1;

    private final AuditSettings settings;
    private final DoubleSupplier clockMs;
    private final Violations violations;
    private final CloseCounters closeCounters;
    private final EndpointAudit endpointAudit;
    private final RetryAudit retryAudit;
    private final Map<String, AuditedRequest> openRequests = new HashMap<>();
    private final Map<String, AuditedRequest> completedRequests =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, AuditedRequest> eldest) {
                    return size() > MAX_COMPLETED_REQUESTS;
                }
            };

    /** Creates an audit without requests and with an empty endpoint list. */
    public RequestAudit(
            AuditSettings settings,
            DoubleSupplier clockMs,
            Violations violations,
            CloseCounters closeCounters) {
        this.settings = settings;
        this.clockMs = clockMs;
        this.violations = violations;
        this.closeCounters = closeCounters;
        endpointAudit = new EndpointAudit(settings, violations, clockMs.getAsDouble());
        retryAudit = new RetryAudit(settings.hedgingAllowed(), violations);
    }

    /** Number of requests that are not complete. */
    public int openRequests() {
        return openRequests.size();
    }

    // ------------------------------------------------------------------ clients

    @Override
    public void accepted(String id, TrafficClass trafficClass, double deadlineMs) {
        if (openRequests.size() >= MAX_OPEN_REQUESTS) {
            return;
        }
        AuditedRequest request = new AuditedRequest(id, trafficClass, deadlineMs);
        openRequests.put(id, request);
        record(request, RecordedEvent.Kind.ACCEPTED, NO_ATTEMPT, trafficClass.name);
    }

    @Override
    public void clientDisconnected(String id) {
        AuditedRequest request = find(id);
        if (request != null) {
            request.clientDisconnected = true;
            record(request, RecordedEvent.Kind.CLIENT_CLOSED, NO_ATTEMPT, null);
            moveToCompletedIfComplete(request);
        }
    }

    @Override
    public void finalResponseSent(String id, String kind) {
        AuditedRequest request = find(id);
        if (request == null) {
            return;
        }
        record(request, RecordedEvent.Kind.ANSWERED, NO_ATTEMPT, kind);
        if (request.finalResponseSent || request.clientDisconnected) {
            report(
                    Invariant.ONE_FINAL_ANSWER,
                    request,
                    "final response " + kind + " after the request had ended");
        }
        if (!request.responseStarted) {
            checkDeadline(request);
        }
        request.finalResponseSent = true;
        request.finalResponseMs = clockMs.getAsDouble();
        moveToCompletedIfComplete(request);
    }

    // ------------------------------------------------------------------ attempts

    @Override
    public int attemptSent(String id, Endpoint endpoint, boolean isRead, long attemptTimeoutMs) {
        double nowMs = clockMs.getAsDouble();
        AuditedRequest request = find(id);
        endpointAudit.checkSend(id, request, endpoint, nowMs);
        if (request == null) {
            return NO_ATTEMPT;
        }
        int number = request.attempts.size();
        request.record(nowMs, RecordedEvent.Kind.WRITTEN, number, endpoint);
        checkSend(request, attemptTimeoutMs, nowMs);
        AuditedAttempt attempt =
                new AuditedAttempt(
                        number, endpoint, endpointAudit.engineAt(endpoint), isRead, nowMs);
        retryAudit.checkAttempt(request, attempt);
        request.attempts.add(attempt);
        return number;
    }

    private void checkSend(AuditedRequest request, long attemptTimeoutMs, double nowMs) {
        if (request.clientDisconnected) {
            report(
                    Invariant.NO_ATTEMPT_AFTER_CLOSE,
                    request,
                    "attempt sent after the client had disconnected");
        }
        if (request.finalResponseSent || request.responseStarted) {
            report(
                    Invariant.NO_ATTEMPT_AFTER_ANSWER,
                    request,
                    "attempt sent after the response had started or ended");
        }
        double remainingMs = request.deadlineMs - nowMs;
        if (attemptTimeoutMs > Math.max(0, remainingMs) + ATTEMPT_TIMEOUT_TOLERANCE_MS) {
            report(
                    Invariant.DEADLINE_PROPAGATED,
                    request,
                    "attempt timeout of "
                            + attemptTimeoutMs
                            + " ms exceeds the remaining "
                            + Math.round(remainingMs)
                            + " ms");
        }
    }

    @Override
    public void readCompleted(String id, int attempt) {
        AuditedRequest request = endAttempt(id, attempt, RecordedEvent.Kind.READ_COMPLETED, null);
        if (request != null) {
            startHold(request);
            moveToCompletedIfComplete(request);
        }
    }

    @Override
    public void responseStarted(String id, int attempt) {
        AuditedRequest request = find(id);
        if (request == null) {
            return;
        }
        record(request, RecordedEvent.Kind.RESPONSE_STARTED, attempt, null);
        if (!request.finalResponseSent && !request.clientDisconnected) {
            checkDeadline(request);
        }
        request.responseStarted = true;
        request.clearStateHeld();
    }

    @Override
    public void attemptEnded(
            String id, int attempt, String outcome, boolean provenNotRun, boolean engineResponded) {
        AuditedRequest request = endAttempt(id, attempt, RecordedEvent.Kind.ENDED, outcome);
        if (request == null || attempt < 0) {
            return;
        }
        AuditedAttempt ended = request.attempts.get(attempt);
        ended.setProvenNotRun(provenNotRun);
        // A read that did not complete may have left a state, whose hold time starts now. The hold
        // time of a state is suspended while an attempt is at an engine, and starts again when the
        // attempt ends.
        boolean holdMayStart = ended.mayHoldReadState() && !request.isStateHeld();
        boolean holdMayRestart =
                request.releasedDuringAttempt || (engineResponded && request.isStateHeld());
        if (!request.responseStarted && (holdMayStart || holdMayRestart)) {
            startHold(request);
        }
        moveToCompletedIfComplete(request);
    }

    /** Marks an attempt as ended; returns its request, or null if the request is not tracked. */
    private AuditedRequest endAttempt(
            String id, int attempt, RecordedEvent.Kind kind, Object detail) {
        AuditedRequest request = find(id);
        if (request != null) {
            record(request, kind, attempt, detail);
            if (attempt >= 0) {
                request.attempts.get(attempt).end();
            }
        }
        return request;
    }

    // ------------------------------------------------------------------ held states

    private void startHold(AuditedRequest request) {
        double nowMs = clockMs.getAsDouble();
        request.setStateHeldSince(nowMs);
        request.releasedDuringAttempt = false;
        request.lateReleaseReported = false;
        request.record(nowMs, RecordedEvent.Kind.HELD, NO_ATTEMPT, null);
        if (completedRequests.remove(request.id) != null) {
            openRequests.put(request.id, request);
        }
    }

    @Override
    public void stateReleased(String id) {
        AuditedRequest request = find(id);
        if (request != null) {
            record(request, RecordedEvent.Kind.RELEASED, NO_ATTEMPT, null);
            checkStateHold(request, clockMs.getAsDouble());
            request.clearStateHeld();
            request.releasedDuringAttempt =
                    request.attempts.stream().anyMatch(attempt -> !attempt.hasEnded());
            moveToCompletedIfComplete(request);
        }
    }

    // ------------------------------------------------------------------ connections and engines

    @Override
    public void connectionClosed(ConnectionPeer peer, CloseReason reason) {
        closeCounters.increment(peer, reason);
    }

    @Override
    public void endpointsChanged(Map<Endpoint, AuditedEngine> engines) {
        endpointAudit.endpointsChanged(engines, clockMs.getAsDouble());
    }

    // ------------------------------------------------------------------ periodic check

    /**
     * Checks the open requests for missed deadlines, states held too long and requests that are not
     * complete long after their final response.
     */
    public void check() {
        double nowMs = clockMs.getAsDouble();
        for (AuditedRequest request : List.copyOf(openRequests.values())) {
            if (!request.responseStarted
                    && !request.finalResponseSent
                    && !request.clientDisconnected) {
                checkDeadline(request);
            }
            checkStateHold(request, nowMs);
            checkIncomplete(request, nowMs);
        }
    }

    private void checkDeadline(AuditedRequest request) {
        double lateMs = clockMs.getAsDouble() - request.deadlineMs;
        if (lateMs > RESPONSE_TOLERANCE_MS && !request.lateResponseReported) {
            request.lateResponseReported = true;
            report(
                    Invariant.ANSWERED_BY_DEADLINE,
                    request,
                    "no response until " + Math.round(lateMs) + " ms after the deadline");
        }
    }

    private void checkStateHold(AuditedRequest request, double nowMs) {
        double stateHeldForMs = request.stateHeldForMs(nowMs);
        if (stateHeldForMs > settings.maxStateHoldMs() + RELEASE_TOLERANCE_MS
                && !request.lateReleaseReported) {
            request.lateReleaseReported = true;
            report(
                    Invariant.STATE_RELEASED,
                    request,
                    "read state held for " + Math.round(stateHeldForMs) + " ms");
        }
    }

    private void checkIncomplete(AuditedRequest request, double nowMs) {
        if (request.finalResponseSent
                && nowMs - request.finalResponseMs > INCOMPLETE_REQUEST_TIMEOUT_MS
                && !request.incompleteReported) {
            request.incompleteReported = true;
            report(
                    Invariant.RESOURCES_RELEASED,
                    request,
                    "attempt or read state left long after the final response");
        }
    }

    // ------------------------------------------------------------------ helpers

    private AuditedRequest find(String id) {
        AuditedRequest request = openRequests.get(id);
        return request != null ? request : completedRequests.get(id);
    }

    private void moveToCompletedIfComplete(AuditedRequest request) {
        if (request.isComplete() && openRequests.remove(request.id) != null) {
            completedRequests.put(request.id, request);
        }
    }

    private void record(
            AuditedRequest request, RecordedEvent.Kind kind, int attempt, Object detail) {
        request.record(clockMs.getAsDouble(), kind, attempt, detail);
    }

    private void report(Invariant invariant, AuditedRequest request, String problem) {
        violations.report(invariant, request.id, problem, request.recentEvents());
    }
}
