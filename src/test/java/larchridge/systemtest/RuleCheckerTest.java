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
    private final Map<Long, EngineProfile> makes =
            Map.of(
                    1L,
                    EngineProfile.of(1, Role.READER, "a", 1),
                    2L,
                    EngineProfile.of(2, Role.WRITER, "a", 1),
                    3L,
                    EngineProfile.of(3, Role.WRITER, "b", 2));

    private static TrafficClass product(Effect effect, DeduplicationScope span) {
        return new TrafficClass("p", effect, span, 5000, 1, 0, 100, 0, 10);
    }

    private void seen(
            double ms, TrafficEvent.Kind kind, long where, String rid, double amount, String word) {
        log.add(new TrafficEvent(ms, kind, where, rid, "op1#0", amount, word));
    }

    private void asked(String product) {
        seen(0, TrafficEvent.Kind.ASKED, 0, null, 1000, product);
    }

    private void last(double ms, String word) {
        seen(ms, TrafficEvent.Kind.FINAL, 0, null, 0, word);
    }

    private String broken() {
        return RuleChecker.judge(
                        log, new RuleChecker.Figures(250, 1000, 2.5, 1000, 0, products, makes))
                .stream()
                .map(b -> Integer.toString(b.rule()))
                .distinct()
                .collect(Collectors.joining(","));
    }

    @Test
    void goodDayBreaksNothing() {
        asked("once");
        seen(10, TrafficEvent.Kind.READ_IN, 1, "r0", 100, null);
        seen(20, TrafficEvent.Kind.STATE_HELD, 1, "r0", 100, null);
        seen(21, TrafficEvent.Kind.LEG_OUT, 1, "r0", 0, null);
        seen(30, TrafficEvent.Kind.WRITE_IN, 2, "r1", 100, null);
        seen(40, TrafficEvent.Kind.STATE_GONE, 1, "r0", 100, null);
        seen(41, TrafficEvent.Kind.RAN, 2, "r1", 100, null);
        seen(50, TrafficEvent.Kind.BEGUN, 0, null, 0, null);
        last(9000, "streamed");
        seen(9001, TrafficEvent.Kind.LEG_OUT, 2, "r1", 0, null);
        assertEquals("", broken());
    }

    @Test
    void noAnswerTwoAnswersAndLateOnesAreCaught() {
        asked("free");
        assertEquals("1", broken());
        last(900, "streamed");
        assertEquals("", broken());
        last(901, "terminated");
        assertEquals("1", broken());
        log.removeIf(s -> s.kind() == TrafficEvent.Kind.FINAL);
        last(1001, "terminated");
        assertEquals("1", broken());
    }

    @Test
    void moreAfterTheAnswerIsCaught() {
        asked("free");
        last(10, "streamed");
        seen(11, TrafficEvent.Kind.AFTER_FINAL, 0, null, 1, null);
        assertEquals("1", broken());
    }

    @Test
    void clientThatLeftIsOwedNothing() {
        asked("free");
        seen(10, TrafficEvent.Kind.LEFT, 0, null, 0, null);
        assertEquals("", broken());
    }

    @Test
    void sideEffectThatRanTwiceIsCaught() {
        asked("once");
        seen(10, TrafficEvent.Kind.RAN, 2, "r1", 1, null);
        last(20, "terminated");
        assertEquals("", broken());
        seen(30, TrafficEvent.Kind.RAN, 3, "r2", 1, null);
        assertEquals("2", broken());
    }

    @Test
    void throttledAfterItRanIsCaught() {
        asked("once");
        seen(10, TrafficEvent.Kind.RAN, 2, "r1", 1, null);
        last(20, "throttled");
        assertEquals("2", broken());
    }

    @Test
    void repeatIsDroppedOnlyInItsGroupAndTime() {
        asked("zoned");
        last(100, "streamed");
        seen(10, TrafficEvent.Kind.RAN, 2, "r1", 1, null);
        seen(20, TrafficEvent.Kind.RAN, 2, "r2", 1, null);
        assertEquals("", broken());
        seen(30, TrafficEvent.Kind.RAN, 3, "r3", 1, null);
        assertEquals("2", broken());
        log.remove(log.size() - 1);
        seen(5100, TrafficEvent.Kind.RAN, 2, "r3", 1, null);
        assertEquals("2", broken());
    }

    @Test
    void attemptAfterTheGraceOfADrainIsCaught() {
        seen(0, TrafficEvent.Kind.LISTED, 2, null, 0, "draining");
        log.add(new TrafficEvent(249, TrafficEvent.Kind.WRITE_IN, 2, "r1", null, 1, null));
        assertEquals("", broken());
        log.add(new TrafficEvent(251, TrafficEvent.Kind.WRITE_IN, 2, "r2", null, 1, null));
        assertEquals("3", broken());
        log.add(new TrafficEvent(240, TrafficEvent.Kind.LISTED, 2, null, null, 0, "ready"));
        assertEquals("", broken());
    }

    @Test
    void herdAtAColdEngineIsCaught() {
        log.add(new TrafficEvent(0, TrafficEvent.Kind.STARTED, 1, null, null, 1, null));
        for (int i = 0; i < 20; i++) {
            log.add(
                    new TrafficEvent(
                            10 + i, TrafficEvent.Kind.READ_IN, 1, "r" + i, null, 3000, null));
        }
        // 2.5 x 0.3 x 60 tokens a millisecond x 1000 ms / 3000 tokens: 15 attempts, and two for
        // chance.
        assertEquals("4", broken());
        log.removeIf(s -> s.ms() > 20);
        assertEquals("", broken());
    }

    @Test
    void pinnedStateIsCaught() {
        asked("free");
        last(100, "terminated");
        seen(10, TrafficEvent.Kind.READ_IN, 1, "r0", 1, null);
        seen(20, TrafficEvent.Kind.STATE_HELD, 1, "r0", 1, null);
        seen(21, TrafficEvent.Kind.LEG_OUT, 1, "r0", 0, null);
        seen(900, TrafficEvent.Kind.STATE_GONE, 1, "r0", 1, null);
        assertEquals("", broken());
        log.remove(log.size() - 1);
        seen(1100, TrafficEvent.Kind.STATE_GONE, 1, "r0", 1, null);
        assertEquals("5", broken());
        log.remove(log.size() - 1);
        log.add(new TrafficEvent(5000, TrafficEvent.Kind.TROUBLE, 0, null, null, 0, "end"));
        assertEquals("5", broken());
    }

    @Test
    void stateIsNotPinnedWhileAnAttemptIsOut() {
        asked("free");
        last(100, "streamed");
        seen(10, TrafficEvent.Kind.READ_IN, 1, "r0", 1, null);
        seen(20, TrafficEvent.Kind.STATE_HELD, 1, "r0", 1, null);
        seen(21, TrafficEvent.Kind.LEG_OUT, 1, "r0", 0, null);
        seen(30, TrafficEvent.Kind.WRITE_IN, 2, "r1", 1, null);
        seen(2000, TrafficEvent.Kind.STATE_GONE, 1, "r0", 1, null);
        assertEquals("", broken());
    }
}
