package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

/** Tests the routing of answers while state transfers start late. */
class StateTransfersTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void answersStayInTheRackWhileTransfersOutOfItAreLate() {
        Engine reader = new Engine(1);
        Engine near = new Engine(2);
        Engine far = new Engine(3);
        policy.endpointsChanged(
                List.of(
                        new EndpointUpdate(
                                reader, EndpointState.READY, 0, 1, "z", 0, Role.READER, 200_000),
                        new EndpointUpdate(
                                near, EndpointState.READY, 0, 1, "z", 0, Role.WRITER, 200_000),
                        new EndpointUpdate(
                                far, EndpointState.READY, 0, 1, "z", 7, Role.WRITER, 200_000)),
                true);
        // The near writer is over the token limit, so answers leave the rack.
        for (int i = 0; i < 4; i++) {
            Generation generation = fixture.generation("near" + i);
            new Attempt(generation, near, false, fixture.nowMs, 2000, 0).open();
        }
        policy.requestArrived(fixture.generation("first"));
        policy.readCompleted(fixture.last(), 0, null, false);
        assertEquals(far, fixture.last().engine);
        fixture.nowMs += 500;
        policy.wakeUp();
        policy.requestArrived(fixture.generation("second"));
        policy.readCompleted(fixture.last(), 0, null, false);
        assertEquals(near, fixture.last().engine);
        // After a few seconds without late transfers, answers leave the rack again.
        fixture.nowMs += 5000;
        policy.requestArrived(fixture.generation("third"));
        policy.readCompleted(fixture.last(), 0, null, false);
        assertEquals(far, fixture.last().engine);
    }
}
