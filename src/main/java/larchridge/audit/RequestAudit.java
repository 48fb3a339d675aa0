package larchridge.audit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import larchridge.state.TrafficClass;
import larchridge.upstream.Endpoint;

/**
 * Follows every request from its acceptance to its end by what goes over the sockets, and reports
 * what violates an invariant. It keeps data of its own and relies on neither the policy nor the
 * upstream client. All methods run on the event loop.
 */
public final class RequestAudit implements RequestEvents {
    /** Tolerances beside the platform's time limits. */
    private static final double ANSWER_TOLERANCE_MS = 500;

    private static final double RELEASE_TOLERANCE_MS = 300;
    private static final double ANNOUNCED_TOLERANCE_MS = 150;

    /** Attempts of a request that is answered are cancelled, and end, long before that. */
    private static final double LEFTOVER_TIMEOUT_MS = 30_000;

    /** Complete requests are kept until so many others, so that later events are noticed. */
    private static final int MAX_COMPLETE = 512;

    private static final int MAX_OPEN = 20_000;
    private static final int NO_ATTEMPT = -1;

    private final AuditSettings settings;
    private final DoubleSupplier clockMs;
    private final Violations violations;
    private final CloseCounters closeCounters;
    private final EndpointAudit endpoints;
    private final RetryAudit retries;
    private final Map<String, AuditedRequest> open = new HashMap<>();
    private final Map<String, AuditedRequest> complete =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, AuditedRequest> eldest) {
                    return size() > MAX_COMPLETE;
                }
            };

    /** An audit in which no request is open and no list is known. */
    public RequestAudit(
            AuditSettings settings,
            DoubleSupplier clockMs,
            Violations violations,
            CloseCounters closeCounters) {
        this.settings = settings;
        this.clockMs = clockMs;
        this.violations = violations;
        this.closeCounters = closeCounters;
        endpoints = new EndpointAudit(settings, violations, clockMs.getAsDouble());
        retries = new RetryAudit(settings.hedgingAllowed(), violations);
    }

    /** Requests that are not complete. */
    public int openRequests() {
        return open.size();
    }

    // ------------------------------------------------------------------ clients

    @Override
    public void accepted(String id, TrafficClass trafficClass, double deadlineMs) {
        if (open.size() >= MAX_OPEN) {
            return;
        }
        AuditedRequest request = new AuditedRequest(id, trafficClass, deadlineMs);
        open.put(id, request);
        record(request, Transition.Kind.ACCEPTED, NO_ATTEMPT, trafficClass.name);
    }

    @Override
    public void clientClosed(String id) {
        AuditedRequest request = find(id);
        if (request != null) {
            request.clientClosed = true;
            record(request, Transition.Kind.CLIENT_CLOSED, NO_ATTEMPT, null);
            moveIfComplete(request);
        }
    }

    @Override
    public void answered(String id, String kind) {
        AuditedRequest request = find(id);
        if (request == null) {
            return;
        }
        record(request, Transition.Kind.ANSWERED, NO_ATTEMPT, kind);
        if (request.answered || request.clientClosed) {
            report(Invariant.ONE_FINAL_ANSWER, request, kind + " after the request's end");
        }
        if (!request.responseStarted) {
            checkDeadline(request);
        }
        request.answered = true;
        request.answeredMs = clockMs.getAsDouble();
        moveIfComplete(request);
    }

    // ------------------------------------------------------------------ attempts

    @Override
    public int attemptWritten(String id, Endpoint endpoint, boolean reads, long announcedMs) {
        double nowMs = clockMs.getAsDouble();
        AuditedRequest request = find(id);
        endpoints.checkWrite(id, request, endpoint, nowMs);
        if (request == null) {
            return NO_ATTEMPT;
        }
        int number = request.attempts.size();
        request.record(nowMs, Transition.Kind.WRITTEN, number, endpoint);
        checkWrite(request, announcedMs, nowMs);
        AuditedAttempt attempt =
                new AuditedAttempt(number, endpoint, endpoints.engineAt(endpoint), reads, nowMs);
        retries.checkAttempt(request, attempt);
        request.attempts.add(attempt);
        return number;
    }

    private void checkWrite(AuditedRequest request, long announcedMs, double nowMs) {
        if (request.clientClosed) {
            report(
                    Invariant.NO_ATTEMPT_AFTER_CLOSE,
                    request,
                    "written for a client that has closed");
        }
        if (request.answered || request.responseStarted) {
            report(Invariant.NO_ATTEMPT_AFTER_ANSWER, request, "written after the answer");
        }
        double remainingMs = request.deadlineMs - nowMs;
        if (announcedMs > Math.max(0, remainingMs) + ANNOUNCED_TOLERANCE_MS) {
            report(
                    Invariant.DEADLINE_PROPAGATED,
                    request,
                    "announced " + announcedMs + " ms of " + Math.round(remainingMs));
        }
    }

    @Override
    public void readCompleted(String id, int attempt) {
        AuditedRequest request = endAttempt(id, attempt, Transition.Kind.READ_COMPLETED, null);
        if (request != null) {
            hold(request);
            moveIfComplete(request);
        }
    }

    @Override
    public void responseStarted(String id, int attempt) {
        AuditedRequest request = find(id);
        if (request == null) {
            return;
        }
        record(request, Transition.Kind.RESPONSE_STARTED, attempt, null);
        if (!request.answered && !request.clientClosed) {
            checkDeadline(request);
        }
        request.responseStarted = true;
        request.clearHeld();
    }

    @Override
    public void attemptEnded(
            String id, int attempt, String outcome, boolean neverRan, boolean engineAnswered) {
        AuditedRequest request = endAttempt(id, attempt, Transition.Kind.ENDED, outcome);
        if (request == null || attempt < 0) {
            return;
        }
        AuditedAttempt ended = request.attempts.get(attempt);
        ended.setNeverRan(neverRan);
        boolean mayHaveBegunHolding = ended.mayHaveRead() && !request.isHeld();
        boolean mayStillBeHeld =
                request.releasedBesideAttempt || (engineAnswered && request.isHeld());
        if (!request.responseStarted && (mayHaveBegunHolding || mayStillBeHeld)) {
            hold(request);
        }
        moveIfComplete(request);
    }

    /** Ends an attempt; gives its request, or null if that is not followed. */
    private AuditedRequest endAttempt(String id, int attempt, Transition.Kind kind, Object detail) {
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

    private void hold(AuditedRequest request) {
        double nowMs = clockMs.getAsDouble();
        request.holdSince(nowMs);
        request.releasedBesideAttempt = false;
        request.lateReleaseReported = false;
        request.record(nowMs, Transition.Kind.HELD, NO_ATTEMPT, null);
        if (complete.remove(request.id) != null) {
            open.put(request.id, request);
        }
    }

    @Override
    public void stateReleased(String id) {
        AuditedRequest request = find(id);
        if (request != null) {
            record(request, Transition.Kind.RELEASED, NO_ATTEMPT, null);
            checkHeld(request, clockMs.getAsDouble());
            request.clearHeld();
            request.releasedBesideAttempt =
                    request.attempts.stream().anyMatch(attempt -> !attempt.hasEnded());
            moveIfComplete(request);
        }
    }

    // ------------------------------------------------------------------ connections and engines

    @Override
    public void connectionClosed(ConnectionSide side, CloseReason reason) {
        closeCounters.increment(side, reason);
    }

    @Override
    public void endpointsChanged(Map<Endpoint, AuditedEngine> engines) {
        endpoints.endpointsChanged(engines, clockMs.getAsDouble());
    }

    // ------------------------------------------------------------------ the periodic check

    /** Checks for what should have happened by now and has not. */
    public void check() {
        double nowMs = clockMs.getAsDouble();
        for (AuditedRequest request : List.copyOf(open.values())) {
            if (!request.responseStarted && !request.answered && !request.clientClosed) {
                checkDeadline(request);
            }
            checkHeld(request, nowMs);
            checkLeftover(request, nowMs);
        }
    }

    private void checkDeadline(AuditedRequest request) {
        double lateMs = clockMs.getAsDouble() - request.deadlineMs;
        if (lateMs > ANSWER_TOLERANCE_MS && !request.lateAnswerReported) {
            request.lateAnswerReported = true;
            report(
                    Invariant.ANSWERED_BY_DEADLINE,
                    request,
                    "no answer " + Math.round(lateMs) + " ms after its deadline");
        }
    }

    private void checkHeld(AuditedRequest request, double nowMs) {
        double heldForMs = request.heldForMs(nowMs);
        if (heldForMs > settings.releaseMs() + RELEASE_TOLERANCE_MS
                && !request.lateReleaseReported) {
            request.lateReleaseReported = true;
            report(
                    Invariant.STATE_RELEASED,
                    request,
                    "a state is held for " + Math.round(heldForMs) + " ms");
        }
    }

    private void checkLeftover(AuditedRequest request, double nowMs) {
        if (request.answered
                && nowMs - request.answeredMs > LEFTOVER_TIMEOUT_MS
                && !request.leftoverReported) {
            request.leftoverReported = true;
            report(
                    Invariant.RESOURCES_RELEASED,
                    request,
                    "attempts are in flight long after its answer");
        }
    }

    // ------------------------------------------------------------------ helpers

    private AuditedRequest find(String id) {
        AuditedRequest request = open.get(id);
        return request != null ? request : complete.get(id);
    }

    private void moveIfComplete(AuditedRequest request) {
        if (request.isComplete() && open.remove(request.id) != null) {
            complete.put(request.id, request);
        }
    }

    private void record(AuditedRequest request, Transition.Kind kind, int attempt, Object detail) {
        request.record(clockMs.getAsDouble(), kind, attempt, detail);
    }

    private void report(Invariant invariant, AuditedRequest request, String problem) {
        violations.report(invariant, request.id, problem, request.transitions());
    }
}
