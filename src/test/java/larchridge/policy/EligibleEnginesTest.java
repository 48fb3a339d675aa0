package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import larchridge.state.EndpointState;
import larchridge.state.Engine;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

/** Tests which engines may receive attempts. */
class EligibleEnginesTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void drainingEngineGetsNoAttempt() {
        Engine[] engines = fixture.engines(2, 1);
        policy.endpointsChanged(
                List.of(fixture.update(engines[0], Role.READER, EndpointState.DRAINING, 0)), false);
        policy.requestArrived(fixture.generation("a"));
        policy.requestArrived(fixture.generation("b"));
        assertTrue(fixture.sent.stream().allMatch(attempt -> attempt.engine == engines[1]));
        assertEquals(2, fixture.sent.size());
    }
}
