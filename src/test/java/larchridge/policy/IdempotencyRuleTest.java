package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.TrafficClass;
import org.junit.jupiter.api.Test;

/** Tests the checks of repeated attempts when the engine is selected and when they are sent. */
class IdempotencyRuleTest {
    private static final double DEDUPLICATION_WINDOW_MS = 1000;
    private static final double SENT_MS = 50_000;

    private final Engine engine = new Engine(1);

    private Attempt attempt(Generation generation, double sentMs) {
        Attempt attempt = new Attempt(generation, engine, false, sentMs, 10, 0);
        attempt.open();
        return attempt;
    }

    private Generation generationWithOneCutAttempt(Effect effect) {
        TrafficClass trafficClass =
                new TrafficClass(
                        "p",
                        effect,
                        DeduplicationScope.ALL,
                        DEDUPLICATION_WINDOW_MS,
                        1,
                        0,
                        1000,
                        0,
                        60);
        Generation generation =
                new Generation(
                        "g",
                        trafficClass,
                        null,
                        null,
                        null,
                        100,
                        0,
                        10,
                        Double.NaN,
                        false,
                        SENT_MS,
                        SENT_MS + 9000);
        Attempt first = attempt(generation, SENT_MS);
        first.recordOutcome(AttemptOutcome.CUT);
        first.close();
        return generation;
    }

    /** The connection is established so late that engines no longer know the first attempt. */
    @Test
    void retrySelectedWithinTheWindowIsNotSentAfterIt() {
        Generation generation = generationWithOneCutAttempt(Effect.DEDUPLICATED);
        assertTrue(IdempotencyRule.mayAttempt(generation, engine, SENT_MS + 790, false));
        Attempt again = attempt(generation, SENT_MS + 790);
        assertTrue(IdempotencyRule.maySend(again, SENT_MS + 800, false));
        assertFalse(IdempotencyRule.maySend(again, SENT_MS + 1040, false));
    }

    /** A process may be paused for 150 ms between reading the clock and sending the request. */
    @Test
    void shortWindowLeavesAMarginForAPausedProcess() {
        Generation generation = generationWithOneCutAttempt(Effect.DEDUPLICATED);
        assertFalse(
                IdempotencyRule.maySend(attempt(generation, SENT_MS + 860), SENT_MS + 860, false));
        TrafficClass shortWindow =
                new TrafficClass(
                        "b", Effect.DEDUPLICATED, DeduplicationScope.ALL, 400, 1, 0, 1000, 0, 60);
        Generation other =
                new Generation(
                        "h",
                        shortWindow,
                        null,
                        null,
                        null,
                        100,
                        0,
                        10,
                        Double.NaN,
                        false,
                        SENT_MS,
                        SENT_MS + 9000);
        Attempt first = attempt(other, SENT_MS);
        first.recordOutcome(AttemptOutcome.CUT);
        first.close();
        assertTrue(IdempotencyRule.mayAttempt(other, engine, SENT_MS + 240, false));
        assertFalse(IdempotencyRule.mayAttempt(other, engine, SENT_MS + 260, false));
    }

    @Test
    void generationThatMayHaveHadAnEffectIsNeverRepeated() {
        Generation generation = generationWithOneCutAttempt(Effect.SIDE_EFFECTING);
        assertFalse(IdempotencyRule.mayAttempt(generation, engine, SENT_MS + 1, true));
        assertFalse(IdempotencyRule.maySend(attempt(generation, SENT_MS + 1), SENT_MS + 1, true));
    }

    @Test
    void idempotentGenerationRunsConcurrentlyOnlyWithHedgingAllowed() {
        Generation generation = generationWithOneCutAttempt(Effect.IDEMPOTENT);
        attempt(generation, SENT_MS + 1);
        assertTrue(IdempotencyRule.mayAttempt(generation, engine, SENT_MS + 2, true));
        assertFalse(IdempotencyRule.mayAttempt(generation, engine, SENT_MS + 2, false));
    }
}
