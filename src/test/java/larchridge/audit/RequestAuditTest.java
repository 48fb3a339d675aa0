package larchridge.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Role;
import larchridge.state.TrafficClass;
import larchridge.upstream.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Each invariant, violated once by events as the sockets report them, is counted once; a compliant
 * request violates none.
 */
class RequestAuditTest {
    private static final String ID = "9b1f03aa5c7e2d41";
    private static final Endpoint READER = new Endpoint("10.0.0.1", 8443);
    private static final Endpoint WRITER = new Endpoint("10.0.0.2", 8443);
    private static final Endpoint OTHER_RACK = new Endpoint("10.0.0.3", 8443);
    private static final Endpoint WARMING = new Endpoint("10.0.0.4", 8443);
    private static final double GRACE_MS = 250;
    private static final double RELEASE_MS = 1000;
    private static final double WINDOW_MS = 2000;
    private static final long TIME_LIMIT_MS = 4000;

    private double nowMs = 1_000_000;
    private final Violations violations = new Violations(new SimpleMeterRegistry());
    private final RequestAudit audit =
            new RequestAudit(
                    new AuditSettings(GRACE_MS, RELEASE_MS, 8000, 0.3, 4, 1500, false),
                    () -> nowMs,
                    violations,
                    new CloseCounters(new SimpleMeterRegistry()));
    private final Map<Endpoint, AuditedEngine> engines = new LinkedHashMap<>();

    RequestAuditTest() {
        engines.put(READER, new AuditedEngine(true, Role.READER, "a", 1, 1, 0));
        engines.put(WRITER, new AuditedEngine(true, Role.WRITER, "a", 1, 1, 0));
        engines.put(OTHER_RACK, new AuditedEngine(true, Role.WRITER, "a", 2, 1, 0));
        engines.put(WARMING, new AuditedEngine(true, Role.WRITER, "a", 1, 1, nowMs - 10));
        audit.endpointsChanged(engines);
    }

    private void accept(String id, Effect effect, DeduplicationScope scope) {
        audit.accepted(
                id,
                new TrafficClass("p", effect, scope, WINDOW_MS, 1, 0, 1000, 0, 60),
                nowMs + TIME_LIMIT_MS);
    }

    private int send(String id, Endpoint endpoint, boolean isRead) {
        return audit.attemptSent(id, endpoint, isRead, 100);
    }

    private void completeRead() {
        accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
        audit.readCompleted(ID, send(ID, READER, true));
    }

    private void sendWriteThatMayHaveRun(Effect effect, DeduplicationScope scope) {
        accept(ID, effect, scope);
        audit.readCompleted(ID, send(ID, READER, true));
        audit.attemptEnded(ID, send(ID, WRITER, false), "CUT", false, false);
    }

    @Test
    void compliantRequestViolatesNothing() {
        completeRead();
        int attempt = send(ID, WRITER, false);
        nowMs += 500;
        audit.responseStarted(ID, attempt);
        nowMs += 5000;
        audit.finalResponseSent(ID, "streamed");
        audit.attemptEnded(ID, attempt, "STREAMED", false, true);
        audit.check();
        assertEquals(0, violations.total());
        assertEquals(0, audit.openRequests());
    }

    @Test
    void timelyReleaseDuringAnAttemptViolatesNothing() {
        completeRead();
        int attempt = send(ID, WRITER, false);
        nowMs += RELEASE_MS;
        audit.stateReleased(ID);
        nowMs += RELEASE_MS;
        audit.check();
        audit.attemptEnded(ID, attempt, "NO_STATE", true, true);
        audit.stateReleased(ID);
        audit.finalResponseSent(ID, "throttled");
        assertEquals(0, violations.total());
    }

    /** Violates the invariant. */
    private void violate(Invariant invariant) {
        switch (invariant) {
            case ONE_FINAL_ANSWER -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.finalResponseSent(ID, "throttled");
                audit.finalResponseSent(ID, "throttled");
            }
            case ANSWERED_BY_DEADLINE -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                nowMs += TIME_LIMIT_MS + 600;
                audit.check();
            }
            case NO_ATTEMPT_AFTER_CLOSE -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.clientDisconnected(ID);
                send(ID, READER, true);
            }
            case NO_ATTEMPT_AFTER_ANSWER -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.finalResponseSent(ID, "throttled");
                send(ID, READER, true);
            }
            case NO_FORBIDDEN_HEDGE -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                send(ID, READER, true);
                send(ID, READER, true);
            }
            case NO_FORBIDDEN_RETRY -> {
                sendWriteThatMayHaveRun(Effect.SIDE_EFFECTING, DeduplicationScope.ALL);
                send(ID, WRITER, false);
            }
            default -> violateByAttempts(invariant);
        }
    }

    private void violateByAttempts(Invariant invariant) {
        switch (invariant) {
            case NO_SEND_PAST_DRAIN_GRACE -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                engines.put(READER, new AuditedEngine(false, Role.READER, "a", 1, 1, 0));
                audit.endpointsChanged(engines);
                nowMs += GRACE_MS + 1;
                send(ID, READER, true);
            }
            case SLOW_START_BUDGET -> {
                for (int i = 0; i < 4; i++) {
                    accept(ID + i, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                    send(ID + i, WARMING, false);
                }
            }
            case DEADLINE_PROPAGATED -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.attemptSent(ID, READER, true, TIME_LIMIT_MS + 151);
            }
            case STATE_RELEASED -> {
                completeRead();
                send(ID, WRITER, false);
                nowMs += RELEASE_MS + 301;
                audit.check();
            }
            case RESOURCES_RELEASED -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                send(ID, READER, true);
                audit.finalResponseSent(ID, "throttled");
                nowMs += 31_000;
                audit.check();
            }
            case ATTEMPT_COUNTS_AGREE ->
                    violations.report(Invariant.ATTEMPT_COUNTS_AGREE, "1 and 2");
            default -> throw new AssertionError(invariant);
        }
    }

    @ParameterizedTest
    @EnumSource(Invariant.class)
    void violationIsCountedOnceUnderItsName(Invariant invariant) {
        violate(invariant);
        assertEquals(1, violations.count(invariant));
        assertEquals(1, violations.total());
    }

    @Test
    void retryWithinScopeAndWindowViolatesNothing() {
        sendWriteThatMayHaveRun(Effect.DEDUPLICATED, DeduplicationScope.RACK);
        nowMs += WINDOW_MS - 1;
        send(ID, WRITER, false);
        assertEquals(0, violations.count(Invariant.NO_FORBIDDEN_RETRY));
    }

    @Test
    void retryAfterWindowOrOutsideScopeIsCounted() {
        sendWriteThatMayHaveRun(Effect.DEDUPLICATED, DeduplicationScope.RACK);
        send(ID, OTHER_RACK, false);
        assertEquals(1, violations.count(Invariant.NO_FORBIDDEN_RETRY));
        audit.attemptEnded(ID, 2, "CUT", false, false);
        nowMs += WINDOW_MS + 1;
        send(ID, WRITER, false);
        assertEquals(3, violations.count(Invariant.NO_FORBIDDEN_RETRY));
    }

    @Test
    void sendToUnlistedEngineIsCounted() {
        send(ID, new Endpoint("10.0.0.9", 8443), true);
        assertEquals(1, violations.count(Invariant.NO_SEND_PAST_DRAIN_GRACE));
    }
}
