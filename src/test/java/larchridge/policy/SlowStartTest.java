package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.EndpointState;
import larchridge.state.Engine;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

/** Tests engines whose process has just started. */
class SlowStartTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();

    @Test
    void routersTogetherStayWithinTheAllowedSlowStartRate() {
        fixture.settings.routers(150);
        int attempts = 0;
        for (int router = 0; router < 150; router++) {
            fixture.settings.seed(router);
            fixture.start();
            Engine[] engines = fixture.engines(3, 1);
            for (int i = 0; i < 30; i++) {
                fixture.nowMs += 1000;
                fixture.policy.readCompleted(
                        new Attempt(
                                fixture.generation("w"), engines[i % 2], true, fixture.nowMs, 9, 9),
                        0,
                        null,
                        true);
            }
            fixture.policy.endpointsChanged(
                    List.of(
                            fixture.update(
                                    engines[2],
                                    Role.READER,
                                    EndpointState.READY,
                                    fixture.nowMs - 500)),
                    false);
            for (int i = 0; i < 4; i++) {
                fixture.nowMs += 1000;
                fixture.policy.requestArrived(fixture.generation("g" + i));
            }
            attempts += engines[2].attempts().size();
        }
        assertTrue(attempts > 20 && attempts < 113, attempts + " attempts of 600");
    }
}
