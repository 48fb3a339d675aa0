package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests the event handling of the policy. */
class RoutingPolicyTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    /** An exception in one generation must not end the periodic checks of the others. */
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
