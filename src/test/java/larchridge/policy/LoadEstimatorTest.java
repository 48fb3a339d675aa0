package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertSame;

import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import larchridge.state.LoadReport;
import org.junit.jupiter.api.Test;

/** Tests load estimates from own attempts and from reports. */
class LoadEstimatorTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void ownSendDoesNotOutweighAReportWithManyRouters() {
        fixture.settings.routers(150);
        RoutingPolicy policyWithManyRouters = fixture.start();
        Engine[] engines = fixture.engines(1, 3);
        policyWithManyRouters.requestArrived(fixture.generation("a"));
        policyWithManyRouters.readCompleted(fixture.last(), 0, new LoadReport(0, 0, 0, 0), false);
        Engine first = fixture.last().engine;
        for (int i = 1; i <= 3; i++) {
            EngineFixture.setLastReportMs(engines[i], fixture.nowMs);
            EngineFixture.setOtherRoutersStreams(engines[i], engines[i] == first ? 4 : 30);
            EngineFixture.setOtherRoutersHeldTokens(
                    engines[i], 1000 * engines[i].otherRoutersStreams());
        }
        policyWithManyRouters.requestArrived(fixture.generation("b"));
        policyWithManyRouters.readCompleted(fixture.last(), 0, null, false);
        assertSame(first, fixture.last().engine);
    }

    @Test
    void otherRoutersPromptsCountWhileTheReportIsFresh() {
        Engine[] engines = fixture.engines(2, 1);
        EngineFixture.setOtherRoutersUnreadTokens(engines[0], 5000);
        EngineFixture.setLastReportMs(engines[0], fixture.nowMs);
        EngineFixture.setLastResponseMs(engines[0], fixture.nowMs);
        EngineFixture.setUnreadTokens(engines[1], 800);
        policy.requestArrived(fixture.generation("a"));
        assertSame(engines[1], fixture.last().engine);
    }
}
