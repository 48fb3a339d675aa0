package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertSame;

import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import larchridge.state.LoadReport;
import org.junit.jupiter.api.Test;

/** Load by own counts and by reports. */
class LoadEstimatorTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void oneOwnSendDoesNotOutweighAReportWhereRoutersAreMany() {
        fixture.settings.routers(150);
        RoutingPolicy one = fixture.start();
        Engine[] engines = fixture.engines(1, 3);
        one.requestArrived(fixture.generation("a"));
        one.readCompleted(fixture.last(), 0, new LoadReport(0, 0, 0, 0), false);
        Engine first = fixture.last().engine;
        for (int i = 1; i <= 3; i++) {
            EngineFixture.setReportMs(engines[i], fixture.nowMs);
            EngineFixture.setOthersStreams(engines[i], engines[i] == first ? 4 : 30);
            EngineFixture.setOthersTokens(engines[i], 1000 * engines[i].othersStreams());
        }
        one.requestArrived(fixture.generation("b"));
        one.readCompleted(fixture.last(), 0, null, false);
        assertSame(first, fixture.last().engine);
    }

    @Test
    void othersPromptsCountWhileTheirReportIsFresh() {
        Engine[] engines = fixture.engines(2, 1);
        EngineFixture.setOthersUnreadTokens(engines[0], 5000);
        EngineFixture.setReportMs(engines[0], fixture.nowMs);
        EngineFixture.setHeardMs(engines[0], fixture.nowMs);
        EngineFixture.setUnreadTokens(engines[1], 800);
        policy.requestArrived(fixture.generation("a"));
        assertSame(engines[1], fixture.last().engine);
    }
}
