package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import larchridge.state.Generation;
import org.junit.jupiter.api.Test;

/** Tests whether a generation is attempted again, and how it is answered otherwise. */
class RetryPolicyTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void sideEffectingGenerationIsNotAttemptedAgain() {
        fixture.engines(1, 2);
        policy.requestArrived(
                fixture.generation(
                        "a",
                        RoutingPolicyFixture.trafficClass(
                                Effect.SIDE_EFFECTING, DeduplicationScope.ALL),
                        null,
                        1000));
        policy.readCompleted(fixture.last(), 0, null, false);
        Attempt write = fixture.last();
        policy.attemptEnded(write, AttemptOutcome.CUT, null, false);
        assertSame(write, fixture.last());
        assertTrue(fixture.hasAction("terminate a"));
        assertFalse(fixture.hasAction("throttle"));
    }

    @Test
    void finalAnswerComesBeforeTheDeadline() {
        fixture.engines(1, 1);
        Generation generation = fixture.generation("a");
        policy.requestArrived(generation);
        fixture.nowMs = generation.deadlineMs - 1;
        policy.wakeUp();
        assertTrue(generation.isFinished());
        assertTrue(fixture.hasAction("throttle a"));
    }

    @Test
    void deduplicatedGenerationIsAttemptedAgainOnlyWithinItsScope() {
        Engine[] engines = fixture.engines(1, 2);
        policy.requestArrived(
                fixture.generation(
                        "a",
                        RoutingPolicyFixture.trafficClass(
                                Effect.DEDUPLICATED, DeduplicationScope.RACK),
                        null,
                        1000));
        policy.readCompleted(fixture.last(), 0, null, false);
        Attempt write = fixture.last();
        EngineFixture.setRack(write.engine == engines[1] ? engines[2] : engines[1], 7);
        EngineFixture.setRack(write.engine, 3);
        while (fixture.last().isInFlight()) {
            assertSame(write.engine, fixture.last().engine);
            policy.attemptEnded(fixture.last(), AttemptOutcome.CUT, null, false);
        }
        assertTrue(fixture.hasAction("terminate a"));
    }
}
