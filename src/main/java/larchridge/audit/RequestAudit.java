package larchridge.audit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.TrafficClass;
import larchridge.upstream.Endpoint;

/**
 * Follows every request from its acceptance to its end by what goes over the sockets, and counts
 * what breaks an invariant. Keeps data of its own: neither the module's nor the link's word is
 * taken. All methods run on the loop.
 */
public final class RequestAudit implements RequestEvents {
    /** Beside the platform's time limits. */
    private static final double LATE_ANSWER_MS = 500;

    private static final double LATE_RELEASE_MS = 300;
    private static final double TOLD_SLACK_MS = 150;

    /** Attempts of a request that is answered are called off, and end, long before that. */
    private static final double GIVEN_BACK_MS = 30_000;

    /**
     * Requests that have ended stay for so many others, so that what comes after their end is seen.
     */
    private static final int ENDED_KEPT = 512;

    private static final int OPEN_MOST = 20_000;

    private final AuditSettings terms;
    private final DoubleSupplier clockMs;
    private final Violations violations;
    private final CloseCounters closeCounters;
    private final ColdBudgetAudit coldBudget;
    private final Map<String, AuditedRequest> open = new HashMap<>();
    private final Map<String, AuditedRequest> ended =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, AuditedRequest> eldest) {
                    return size() > ENDED_KEPT;
                }
            };
    private Map<Endpoint, AuditedEngine> engines = Map.of();

    /** When an engine was first told to drain or to be gone. */
    private final Map<Endpoint, Double> leftMs = new LinkedHashMap<>();

    public RequestAudit(
            AuditSettings terms,
            DoubleSupplier clockMs,
            Violations violations,
            CloseCounters closeCounters) {
        this.terms = terms;
        this.clockMs = clockMs;
        this.violations = violations;
        this.closeCounters = closeCounters;
        coldBudget = new ColdBudgetAudit(terms, clockMs.getAsDouble());
    }

    public int openRequests() {
        return open.size();
    }

    // ------------------------------------------------------------------ clients

    @Override
    public void accepted(String id, TrafficClass product, double limitMs) {
        if (open.size() >= OPEN_MOST) {
            return;
        }
        AuditedRequest request = new AuditedRequest(id, product, limitMs);
        open.put(id, request);
        request.step(clockMs.getAsDouble(), Transition.Kind.ACCEPTED, -1, product.name);
    }

    @Override
    public void clientClosed(String id) {
        AuditedRequest request = find(id);
        if (request != null) {
            request.clientClosed = true;
            request.step(clockMs.getAsDouble(), Transition.Kind.CLIENT_CLOSED, -1, null);
            endIfOver(request);
        }
    }

    @Override
    public void answered(String id, String kind) {
        AuditedRequest request = find(id);
        if (request == null) {
            return;
        }
        request.step(clockMs.getAsDouble(), Transition.Kind.ANSWERED, -1, kind);
        if (request.answered || request.clientClosed) {
            violated(Invariant.ONE_FINAL_ANSWER, request, kind + " after the request's end");
        }
        if (!request.begun) {
            checkInTime(request);
        }
        request.answered = true;
        request.answeredMs = clockMs.getAsDouble();
        endIfOver(request);
    }

    // ------------------------------------------------------------------ attempts

    @Override
    public int attemptWritten(String id, Endpoint endpoint, boolean reads, long toldMs) {
        double now = clockMs.getAsDouble();
        AuditedRequest request = find(id);
        AuditedEngine engine = engines.get(endpoint);
        checkEngine(id, request, endpoint, engine, now);
        if (request == null) {
            return -1;
        }
        int number = request.attempts.size();
        request.step(now, Transition.Kind.WRITTEN, number, endpoint);
        checkRequest(request, now, toldMs);
        AuditedAttempt attempt = new AuditedAttempt(number, endpoint, engine, reads, now);
        checkRepeat(request, attempt);
        request.attempts.add(attempt);
        return number;
    }

    private void checkEngine(
            String id,
            AuditedRequest request,
            Endpoint endpoint,
            AuditedEngine engine,
            double now) {
        Double left = leftMs.get(endpoint);
        if ((left != null && now > left + terms.drainGraceMs())
                || (left == null && engine == null)) {
            violated(
                    Invariant.NO_SEND_PAST_GRACE,
                    id,
                    request,
                    "written to "
                            + endpoint
                            + (left == null
                                    ? ", which no list names"
                                    : " "
                                            + Math.round(now - left)
                                            + " ms after it was told to leave"));
        }
        if (engine != null && !coldBudget.written(endpoint, engine, engines, now)) {
            violated(
                    Invariant.COLD_BUDGET,
                    id,
                    request,
                    "too many to " + endpoint + ", which is cold");
        }
    }

    private void checkRequest(AuditedRequest request, double now, long toldMs) {
        if (request.clientClosed) {
            violated(
                    Invariant.NO_ATTEMPT_AFTER_CLOSE,
                    request,
                    "written for a client that has closed");
        }
        if (request.answered || request.begun) {
            violated(Invariant.NO_ATTEMPT_AFTER_ANSWER, request, "written after the answer");
        }
        double leftMs = request.limitMs - now;
        if (toldMs > Math.max(0, leftMs) + TOLD_SLACK_MS) {
            violated(
                    Invariant.TIME_TOLD,
                    request,
                    "told " + toldMs + " ms of " + Math.round(leftMs));
        }
    }

    private void checkRepeat(AuditedRequest request, AuditedAttempt attempt) {
        TrafficClass product = request.product;
        boolean idempotent = product.effect == Effect.IDEMPOTENT;
        for (AuditedAttempt earlier : request.attempts) {
            if (!earlier.ended && !(idempotent && terms.copies())) {
                violated(
                        Invariant.NO_FORBIDDEN_COPY,
                        request,
                        "attempt " + earlier.number + " is still out");
            }
            if (!idempotent
                    && earlier.mayHaveRun()
                    && !attempt.reads
                    && !mayFollow(product, earlier, attempt)) {
                violated(
                        Invariant.NO_FORBIDDEN_REPEAT,
                        request,
                        "attempt "
                                + earlier.number
                                + " may have run "
                                + Math.round(attempt.writtenMs - earlier.writtenMs)
                                + " ms before");
            }
        }
    }

    private static boolean mayFollow(
            TrafficClass product, AuditedAttempt earlier, AuditedAttempt attempt) {
        if (product.effect == Effect.SIDE_EFFECTING
                || attempt.writtenMs - earlier.writtenMs > product.deduplicationWindowMs) {
            return false;
        }
        if (earlier.engine == null
                || attempt.engine == null
                || product.deduplicationScope == DeduplicationScope.ALL) {
            return true;
        }
        return product.deduplicationScope == DeduplicationScope.ZONE
                ? earlier.engine.zone().equals(attempt.engine.zone())
                : earlier.engine.rack() == attempt.engine.rack();
    }

    @Override
    public void readCompleted(String id, int attempt) {
        AuditedRequest request = end(id, attempt, Transition.Kind.READ, null);
        if (request != null) {
            hold(request);
            endIfOver(request);
        }
    }

    @Override
    public void responseStarted(String id, int attempt) {
        AuditedRequest request = find(id);
        if (request == null) {
            return;
        }
        request.step(clockMs.getAsDouble(), Transition.Kind.BEGUN, attempt, null);
        if (!request.answered && !request.clientClosed) {
            checkInTime(request);
        }
        request.begun = true;
        request.heldMs = Double.NaN;
    }

    @Override
    public void attemptEnded(
            String id, int attempt, String outcome, boolean neverRan, boolean heard) {
        AuditedRequest request = end(id, attempt, Transition.Kind.ENDED, outcome);
        if (request == null || attempt < 0) {
            return;
        }
        AuditedAttempt one = request.attempts.get(attempt);
        one.neverRan = neverRan;
        boolean mayHaveRead = one.reads && !neverRan;
        boolean mayStillBeHeld =
                request.releasedBesideAttempt || (heard && !Double.isNaN(request.heldMs));
        if (!request.begun && ((mayHaveRead && Double.isNaN(request.heldMs)) || mayStillBeHeld)) {
            hold(request);
        }
        endIfOver(request);
    }

    private AuditedRequest end(String id, int attempt, Transition.Kind kind, Object detail) {
        AuditedRequest request = find(id);
        if (request != null) {
            request.step(clockMs.getAsDouble(), kind, attempt, detail);
            if (attempt >= 0) {
                request.attempts.get(attempt).ended = true;
            }
        }
        return request;
    }

    // ------------------------------------------------------------------ held states

    private void hold(AuditedRequest request) {
        request.heldMs = clockMs.getAsDouble();
        request.releasedBesideAttempt = false;
        request.toldHeld = false;
        request.step(request.heldMs, Transition.Kind.HELD, -1, null);
        if (ended.remove(request.id) != null) {
            open.put(request.id, request);
        }
    }

    @Override
    public void stateReleased(String id) {
        AuditedRequest request = find(id);
        if (request != null) {
            request.step(clockMs.getAsDouble(), Transition.Kind.RELEASED, -1, null);
            checkHeld(request, clockMs.getAsDouble());
            request.heldMs = Double.NaN;
            request.releasedBesideAttempt = request.attempts.stream().anyMatch(one -> !one.ended);
            endIfOver(request);
        }
    }

    // ------------------------------------------------------------------ connections and engines

    @Override
    public void connectionClosed(ConnectionSide side, CloseReason reason) {
        closeCounters.closed(side, reason);
    }

    @Override
    public void endpointsChanged(Map<Endpoint, AuditedEngine> now) {
        double ms = clockMs.getAsDouble();
        engines.forEach(
                (endpoint, engine) -> {
                    AuditedEngine newer = now.get(endpoint);
                    if (engine.serving() && (newer == null || !newer.serving())) {
                        leftMs.putIfAbsent(endpoint, ms);
                    }
                });
        now.forEach(
                (endpoint, engine) -> {
                    if (engine.serving()) {
                        leftMs.remove(endpoint);
                    } else {
                        leftMs.putIfAbsent(endpoint, ms);
                    }
                });
        while (leftMs.size() > OPEN_MOST) {
            leftMs.remove(leftMs.keySet().iterator().next());
        }
        engines = Map.copyOf(now);
        coldBudget.listed(engines);
    }

    // ------------------------------------------------------------------ the regular look

    /** Looks for what should have happened and has not. */
    public void check() {
        double now = clockMs.getAsDouble();
        for (AuditedRequest request : List.copyOf(open.values())) {
            if (!request.begun && !request.answered && !request.clientClosed) {
                checkInTime(request);
            }
            checkHeld(request, now);
            if (request.answered && now - request.answeredMs > GIVEN_BACK_MS && !request.toldLeft) {
                request.toldLeft = true;
                violated(
                        Invariant.ALL_GIVEN_BACK,
                        request,
                        "attempts are out long after its answer");
            }
        }
    }

    private void checkInTime(AuditedRequest request) {
        double lateMs = clockMs.getAsDouble() - request.limitMs;
        if (lateMs > LATE_ANSWER_MS && !request.toldLate) {
            request.toldLate = true;
            violated(
                    Invariant.ANSWER_IN_TIME,
                    request,
                    "no answer " + Math.round(lateMs) + " ms after its time");
        }
    }

    private void checkHeld(AuditedRequest request, double now) {
        if (now - request.heldMs > terms.releaseMs() + LATE_RELEASE_MS && !request.toldHeld) {
            request.toldHeld = true;
            violated(
                    Invariant.STATE_RELEASED,
                    request,
                    "a state is held for " + Math.round(now - request.heldMs) + " ms");
        }
    }

    private AuditedRequest find(String id) {
        AuditedRequest request = open.get(id);
        return request != null ? request : ended.get(id);
    }

    private void endIfOver(AuditedRequest request) {
        if (request.isOver() && open.remove(request.id) != null) {
            ended.put(request.id, request);
        }
    }

    private void violated(Invariant invariant, AuditedRequest request, String what) {
        violations.count(invariant, request.id, what, request.steps());
    }

    private void violated(Invariant invariant, String id, AuditedRequest request, String what) {
        violations.count(invariant, id, what, request == null ? null : request.steps());
    }
}
