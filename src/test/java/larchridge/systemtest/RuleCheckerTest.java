package larchridge.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Role;
import larchridge.state.TrafficClass;
import org.junit.jupiter.api.Test;

class RuleCheckerTest {
    private final List<TrafficEvent> log = new ArrayList<>();
    private final Map<String, TrafficClass> products =
            Map.of(
                    "once",
                    product(Effect.SIDE_EFFECTING, DeduplicationScope.RACK),
                    "zoned",
                    product(Effect.DEDUPLICATED, DeduplicationScope.ZONE),
                    "free",
                    product(Effect.IDEMPOTENT, DeduplicationScope.ALL));
    private final Map<Long, EngineProfile> profiles =
            Map.of(
                    1L,
                    EngineProfile.of(1, Role.READER, "a", 1),
                    2L,
                    EngineProfile.of(2, Role.WRITER, "a", 1),
                    3L,
                    EngineProfile.of(3, Role.WRITER, "b", 2));

    private static TrafficClass product(Effect effect, DeduplicationScope scope) {
        return new TrafficClass("p", effect, scope, 5000, 1, 0, 100, 0, 10);
    }

    private void addEvent(
            double ms, TrafficEvent.Kind kind, long where, String rid, double amount, String word) {
        log.add(new TrafficEvent(ms, kind, where, rid, "op1#0", amount, word));
    }

    private void addRequest(String product) {
        addEvent(0, TrafficEvent.Kind.ASKED, 0, null, 1000, product);
    }

    private void addFinal(double ms, String word) {
        addEvent(ms, TrafficEvent.Kind.FINAL, 0, null, 0, word);
    }

    private String violatedRules() {
        return RuleChecker.check(
                        log, new RuleChecker.Limits(250, 1000, 2.5, 1000, 0, products, profiles))
                .stream()
                .map(violation -> Integer.toString(violation.rule()))
                .distinct()
                .collect(Collectors.joining(","));
    }

    @Test
    void validLogHasNoViolations() {
        addRequest("once");
        addEvent(10, TrafficEvent.Kind.READ_IN, 1, "r0", 100, null);
        addEvent(20, TrafficEvent.Kind.STATE_HELD, 1, "r0", 100, null);
        addEvent(21, TrafficEvent.Kind.LEG_OUT, 1, "r0", 0, null);
        addEvent(30, TrafficEvent.Kind.WRITE_IN, 2, "r1", 100, null);
        addEvent(40, TrafficEvent.Kind.STATE_GONE, 1, "r0", 100, null);
        addEvent(41, TrafficEvent.Kind.RAN, 2, "r1", 100, null);
        addEvent(50, TrafficEvent.Kind.BEGUN, 0, null, 0, null);
        addFinal(9000, "streamed");
        addEvent(9001, TrafficEvent.Kind.LEG_OUT, 2, "r1", 0, null);
        assertEquals("", violatedRules());
    }

    @Test
    void missingSecondAndLateAnswersAreDetected() {
        addRequest("free");
        assertEquals("1", violatedRules());
        addFinal(900, "streamed");
        assertEquals("", violatedRules());
        addFinal(901, "terminated");
        assertEquals("1", violatedRules());
        log.removeIf(event -> event.kind() == TrafficEvent.Kind.FINAL);
        addFinal(1001, "terminated");
        assertEquals("1", violatedRules());
    }

    @Test
    void dataAfterTheFinalAnswerIsDetected() {
        addRequest("free");
        addFinal(10, "streamed");
        addEvent(11, TrafficEvent.Kind.AFTER_FINAL, 0, null, 1, null);
        assertEquals("1", violatedRules());
    }

    @Test
    void disconnectedClientNeedsNoAnswer() {
        addRequest("free");
        addEvent(10, TrafficEvent.Kind.LEFT, 0, null, 0, null);
        assertEquals("", violatedRules());
    }

    @Test
    void sideEffectingRequestThatRanTwiceIsDetected() {
        addRequest("once");
        addEvent(10, TrafficEvent.Kind.RAN, 2, "r1", 1, null);
        addFinal(20, "terminated");
        assertEquals("", violatedRules());
        addEvent(30, TrafficEvent.Kind.RAN, 3, "r2", 1, null);
        assertEquals("2", violatedRules());
    }

    @Test
    void throttlingAfterARunIsDetected() {
        addRequest("once");
        addEvent(10, TrafficEvent.Kind.RAN, 2, "r1", 1, null);
        addFinal(20, "throttled");
        assertEquals("2", violatedRules());
    }

    @Test
    void repeatIsAllowedOnlyWithinDeduplicationScopeAndWindow() {
        addRequest("zoned");
        addFinal(100, "streamed");
        addEvent(10, TrafficEvent.Kind.RAN, 2, "r1", 1, null);
        addEvent(20, TrafficEvent.Kind.RAN, 2, "r2", 1, null);
        assertEquals("", violatedRules());
        addEvent(30, TrafficEvent.Kind.RAN, 3, "r3", 1, null);
        assertEquals("2", violatedRules());
        log.remove(log.size() - 1);
        addEvent(5100, TrafficEvent.Kind.RAN, 2, "r3", 1, null);
        assertEquals("2", violatedRules());
    }

    @Test
    void attemptAfterTheDrainGraceIsDetected() {
        addEvent(0, TrafficEvent.Kind.LISTED, 2, null, 0, "draining");
        log.add(new TrafficEvent(249, TrafficEvent.Kind.WRITE_IN, 2, "r1", null, 1, null));
        assertEquals("", violatedRules());
        log.add(new TrafficEvent(251, TrafficEvent.Kind.WRITE_IN, 2, "r2", null, 1, null));
        assertEquals("3", violatedRules());
        log.add(new TrafficEvent(240, TrafficEvent.Kind.LISTED, 2, null, null, 0, "ready"));
        assertEquals("", violatedRules());
    }

    @Test
    void overloadOfAColdEngineIsDetected() {
        log.add(new TrafficEvent(0, TrafficEvent.Kind.STARTED, 1, null, null, 1, null));
        for (int i = 0; i < 20; i++) {
            log.add(
                    new TrafficEvent(
                            10 + i, TrafficEvent.Kind.READ_IN, 1, "r" + i, null, 3000, null));
        }
        // 2.5 x 0.3 x 60 tokens per millisecond x 1000 ms / 3000 tokens: 15 attempts, plus the two
        // that are tolerated for random variation.
        assertEquals("4", violatedRules());
        log.removeIf(event -> event.ms() > 20);
        assertEquals("", violatedRules());
    }

    @Test
    void unreleasedStateIsDetected() {
        addRequest("free");
        addFinal(100, "terminated");
        addEvent(10, TrafficEvent.Kind.READ_IN, 1, "r0", 1, null);
        addEvent(20, TrafficEvent.Kind.STATE_HELD, 1, "r0", 1, null);
        addEvent(21, TrafficEvent.Kind.LEG_OUT, 1, "r0", 0, null);
        addEvent(900, TrafficEvent.Kind.STATE_GONE, 1, "r0", 1, null);
        assertEquals("", violatedRules());
        log.remove(log.size() - 1);
        addEvent(1100, TrafficEvent.Kind.STATE_GONE, 1, "r0", 1, null);
        assertEquals("5", violatedRules());
        log.remove(log.size() - 1);
        log.add(new TrafficEvent(5000, TrafficEvent.Kind.TROUBLE, 0, null, null, 0, "end"));
        assertEquals("5", violatedRules());
    }

    @Test
    void stateMayBeHeldWhileAnAttemptIsActive() {
        addRequest("free");
        addFinal(100, "streamed");
        addEvent(10, TrafficEvent.Kind.READ_IN, 1, "r0", 1, null);
        addEvent(20, TrafficEvent.Kind.STATE_HELD, 1, "r0", 1, null);
        addEvent(21, TrafficEvent.Kind.LEG_OUT, 1, "r0", 0, null);
        addEvent(30, TrafficEvent.Kind.WRITE_IN, 2, "r1", 1, null);
        addEvent(2000, TrafficEvent.Kind.STATE_GONE, 1, "r0", 1, null);
        assertEquals("", violatedRules());
    }
}
