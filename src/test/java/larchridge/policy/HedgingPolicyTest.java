package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.Attempt;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import larchridge.state.Generation;
import org.junit.jupiter.api.Test;

/** Tests attempts whose engines stop responding. */
class HedgingPolicyTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void longPromptAtAnIdleReaderIsNotOverdue() {
        fixture.engines(2, 1);
        policy.requestArrived(
                fixture.generation(
                        "a",
                        RoutingPolicyFixture.trafficClass(
                                Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        20_000));
        fixture.nowMs += 1500;
        policy.wakeUp();
        assertFalse(fixture.hasAction("cancel"));
    }

    @Test
    void readAtASilentEngineIsHedgedAndNotCancelled() {
        Engine[] engines = fixture.engines(2, 1);
        policy.requestArrived(fixture.generation("a"));
        Attempt silent = fixture.last();
        EngineFixture.setLastResponseMs(silent.engine, fixture.nowMs + 100);
        fixture.nowMs += 400;
        policy.wakeUp();
        assertSame(silent, fixture.last());
        fixture.nowMs += 400;
        policy.wakeUp();
        assertFalse(fixture.hasAction("cancel a"));
        assertSame(silent.engine == engines[0] ? engines[1] : engines[0], fixture.last().engine);
    }

    @Test
    void answerStaysAtASilentWriterWhileNoOtherHasCapacity() {
        Engine[] engines = fixture.engines(1, 2);
        policy.requestArrived(fixture.generation("a"));
        policy.readCompleted(fixture.last(), 0, null, false);
        Attempt write = fixture.last();
        EngineFixture.setOtherRoutersHeldTokens(engines[1], 200_000);
        EngineFixture.setOtherRoutersHeldTokens(engines[2], 200_000);
        EngineFixture.setLastReportMs(engines[1], fixture.nowMs + 1500);
        EngineFixture.setLastReportMs(engines[2], fixture.nowMs + 1500);
        fixture.nowMs += 1500;
        policy.wakeUp();
        assertSame(write, fixture.last());
        EngineFixture.setOtherRoutersHeldTokens(
                write.engine == engines[1] ? engines[2] : engines[1], 0);
        policy.wakeUp();
        assertEquals(3, fixture.sent.size());
    }

    /** The attempt may be queued at its writer, which keeps the state; other writers find none. */
    @Test
    void answerWhoseStateWasReleasedStaysUntilThePromptIsReadAgain() {
        fixture.engines(2, 2);
        Generation generation = fixture.generation("a");
        policy.requestArrived(generation);
        policy.readCompleted(fixture.last(), 0, null, false);
        Attempt waiting = fixture.last();
        policy.stateReleased(waiting);
        waiting.setSilenceTimeoutMs(100);
        fixture.nowMs += waiting.silenceTimeoutMs() + 1;
        policy.wakeUp();
        Attempt again = fixture.last();
        assertTrue(again.readsOnly, "the prompt is read again before the answer moves");
        assertFalse(fixture.hasAction("cancel a"));
        policy.readCompleted(again, 0, null, false);
        assertFalse(fixture.last().readsOnly);
        assertTrue(waiting.isCancelled());
    }
}
