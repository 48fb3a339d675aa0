package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests when engines are probed for their load. */
class LoadProbesTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();

    @Test
    void probesAreSentPerGenerationNotPeriodically() {
        fixture.settings.reportsWithProbes(true);
        RoutingPolicy probing = fixture.start();
        fixture.engines(4, 10);
        probing.requestArrived(fixture.generation("a"));
        for (int i = 0; i < 15; i++) {
            fixture.nowMs += 20;
            probing.wakeUp();
        }
        assertEquals(3, fixture.actions.stream().filter(line -> line.startsWith("probe")).count());
    }
}
