package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointState;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

/** Tests that held states are always used or released. */
class HeldStatesTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void readThatCompletesAfterItsGenerationLeavesNoStateHeld() {
        fixture.engines(1, 1);
        Generation generation = fixture.generation("a");
        policy.requestArrived(generation);
        policy.generationAbandoned(generation);
        policy.readCompleted(fixture.last(), 0, null, true);
        assertTrue(fixture.hasAction("release a"));
        assertEquals(1, fixture.sent.size());
    }

    @Test
    void stateOfARemovedReaderIsReleasedBeforeThePromptIsReadAgain() {
        Engine[] engines = fixture.engines(2, 1);
        Generation generation = fixture.generation("a");
        policy.requestArrived(generation);
        Attempt read = fixture.last();
        policy.endpointsChanged(
                List.of(fixture.update(read.engine, Role.READER, EndpointState.REMOVED, 0)), false);
        policy.readCompleted(read, 0, null, false);
        assertTrue(fixture.hasAction("release a"));
        assertSame(read.engine == engines[0] ? engines[1] : engines[0], fixture.last().engine);
    }

    @Test
    void stateIsReleasedAfterTheLastAttemptOfADisconnectedClient() {
        fixture.engines(1, 1);
        Generation generation = fixture.generation("a");
        policy.requestArrived(generation);
        policy.generationAbandoned(generation);
        fixture.actions.clear();
        policy.attemptEnded(fixture.last(), AttemptOutcome.CANCELLED, null, true);
        assertTrue(fixture.hasAction("release a"));
    }

    @Test
    void stateFromAReadIsUsedWhenAConcurrentReadAtAWriterFails() {
        Engine[] engines = fixture.engines(1, 2);
        policy.requestArrived(fixture.generation("a"));
        Attempt read = fixture.last();
        Attempt readAtWriter =
                new Attempt(read.generation, engines[1], false, fixture.nowMs, 1100, 1000);
        readAtWriter.open();
        policy.readCompleted(read, 0, null, false);
        assertFalse(fixture.hasAction("release"));
        policy.attemptEnded(readAtWriter, AttemptOutcome.FAULT, null, false);
        assertEquals(2, fixture.sent.size());
        assertSame(Role.WRITER, fixture.last().engine.role());
    }
}
