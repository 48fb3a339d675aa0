package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Events of the policy as a whole. */
class RoutingPolicyTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    /** A fault at one generation must not end the regular look at the others. */
    @Test
    void sweepsContinueAfterAnExceptionInOneGeneration() {
        fixture.engines(1, 1);
        policy.requestArrived(fixture.generation("a"));
        fixture.scheduledWakeUps = 0;
        fixture.last().generation.attempts().set(0, null);
        assertThrows(NullPointerException.class, policy::wakeUp);
        assertEquals(1, fixture.scheduledWakeUps);
    }
}
