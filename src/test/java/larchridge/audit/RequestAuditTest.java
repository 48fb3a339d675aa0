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
 * Each invariant is broken once by events as the sockets would tell them, and counted; an orderly
 * day breaks none.
 */
class RequestAuditTest {
    private static final String ID = "9b1f03aa5c7e2d41";
    private static final Endpoint READER = new Endpoint("10.0.0.1", 8443);
    private static final Endpoint WRITER = new Endpoint("10.0.0.2", 8443);
    private static final Endpoint OTHER_RACK = new Endpoint("10.0.0.3", 8443);
    private static final Endpoint COLD = new Endpoint("10.0.0.4", 8443);
    private static final double GRACE_MS = 250;
    private static final double RELEASE_MS = 1000;
    private static final double WINDOW_MS = 2000;
    private static final long TOLD_MS = 4000;

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
        engines.put(COLD, new AuditedEngine(true, Role.WRITER, "a", 1, 1, nowMs - 10));
        audit.endpointsChanged(engines);
    }

    private void accept(String id, Effect effect, DeduplicationScope span) {
        audit.accepted(
                id,
                new TrafficClass("p", effect, span, WINDOW_MS, 1, 0, 1000, 0, 60),
                nowMs + TOLD_MS);
    }

    private int write(String id, Endpoint endpoint, boolean reads) {
        return audit.attemptWritten(id, endpoint, reads, 100);
    }

    private void readAndHold() {
        accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
        audit.readCompleted(ID, write(ID, READER, true));
    }

    private void writeThatMayHaveRun(Effect effect, DeduplicationScope span) {
        accept(ID, effect, span);
        audit.readCompleted(ID, write(ID, READER, true));
        audit.attemptEnded(ID, write(ID, WRITER, false), "CUT", false, false);
    }

    @Test
    void orderlyRequestBreaksNothing() {
        readAndHold();
        int attempt = write(ID, WRITER, false);
        nowMs += 500;
        audit.responseStarted(ID, attempt);
        nowMs += 5000;
        audit.answered(ID, "streamed");
        audit.attemptEnded(ID, attempt, "STREAMED", false, true);
        audit.check();
        assertEquals(0, violations.total());
        assertEquals(0, audit.openRequests());
    }

    @Test
    void releaseInTimeBesideAnAttemptBreaksNothing() {
        readAndHold();
        int attempt = write(ID, WRITER, false);
        nowMs += RELEASE_MS;
        audit.stateReleased(ID);
        nowMs += RELEASE_MS;
        audit.check();
        audit.attemptEnded(ID, attempt, "NO_STATE", true, true);
        audit.stateReleased(ID);
        audit.answered(ID, "throttled");
        assertEquals(0, violations.total());
    }

    /** Does what the invariant forbids. */
    private void breach(Invariant invariant) {
        switch (invariant) {
            case ONE_FINAL_ANSWER -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.answered(ID, "throttled");
                audit.answered(ID, "throttled");
            }
            case ANSWER_IN_TIME -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                nowMs += TOLD_MS + 600;
                audit.check();
            }
            case NO_ATTEMPT_AFTER_CLOSE -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.clientClosed(ID);
                write(ID, READER, true);
            }
            case NO_ATTEMPT_AFTER_ANSWER -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.answered(ID, "throttled");
                write(ID, READER, true);
            }
            case NO_FORBIDDEN_COPY -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                write(ID, READER, true);
                write(ID, READER, true);
            }
            case NO_FORBIDDEN_REPEAT -> {
                writeThatMayHaveRun(Effect.SIDE_EFFECTING, DeduplicationScope.ALL);
                write(ID, WRITER, false);
            }
            case NO_SEND_PAST_GRACE -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                engines.put(READER, new AuditedEngine(false, Role.READER, "a", 1, 1, 0));
                audit.endpointsChanged(engines);
                nowMs += GRACE_MS + 1;
                write(ID, READER, true);
            }
            case COLD_BUDGET -> {
                for (int i = 0; i < 4; i++) {
                    accept(ID + i, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                    write(ID + i, COLD, false);
                }
            }
            case TIME_TOLD -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                audit.attemptWritten(ID, READER, true, TOLD_MS + 151);
            }
            case STATE_RELEASED -> {
                readAndHold();
                write(ID, WRITER, false);
                nowMs += RELEASE_MS + 301;
                audit.check();
            }
            case ALL_GIVEN_BACK -> {
                accept(ID, Effect.IDEMPOTENT, DeduplicationScope.ALL);
                write(ID, READER, true);
                audit.answered(ID, "throttled");
                nowMs += 31_000;
                audit.check();
            }
            case COUNTS_AGREE -> violations.count(Invariant.COUNTS_AGREE, null, "1 and 2", null);
            default -> throw new AssertionError(invariant);
        }
    }

    @ParameterizedTest
    @EnumSource(Invariant.class)
    void breachIsCountedOnceUnderItsName(Invariant invariant) {
        breach(invariant);
        assertEquals(1, violations.count(invariant));
        assertEquals(1, violations.total());
    }

    @Test
    void repeatInItsGroupAndWindowBreaksNothing() {
        writeThatMayHaveRun(Effect.DEDUPLICATED, DeduplicationScope.RACK);
        nowMs += WINDOW_MS - 1;
        write(ID, WRITER, false);
        assertEquals(0, violations.count(Invariant.NO_FORBIDDEN_REPEAT));
    }

    @Test
    void repeatAfterItsWindowOrOutsideItsGroupIsCounted() {
        writeThatMayHaveRun(Effect.DEDUPLICATED, DeduplicationScope.RACK);
        write(ID, OTHER_RACK, false);
        assertEquals(1, violations.count(Invariant.NO_FORBIDDEN_REPEAT));
        audit.attemptEnded(ID, 2, "CUT", false, false);
        nowMs += WINDOW_MS + 1;
        write(ID, WRITER, false);
        assertEquals(3, violations.count(Invariant.NO_FORBIDDEN_REPEAT));
    }

    @Test
    void engineThatNoListNamesIsCounted() {
        write(ID, new Endpoint("10.0.0.9", 8443), true);
        assertEquals(1, violations.count(Invariant.NO_SEND_PAST_GRACE));
    }
}
