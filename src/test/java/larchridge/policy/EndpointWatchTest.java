package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests subscriptions to the endpoint list. */
class EndpointWatchTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();

    @Test
    void endpointListIsRequestedAgainAfterAFailureOnly() {
        fixture.settings.endpointSubscriptionRequired(true);
        RoutingPolicy policy = fixture.start();
        fixture.nowMs += 20_000;
        policy.wakeUp();
        assertEquals(1, fixture.actions.stream().filter("follow"::equals).count());
        policy.endpointWatchFailed();
        fixture.nowMs += 1001;
        policy.wakeUp();
        assertEquals(2, fixture.actions.stream().filter("follow"::equals).count());
    }
}
