package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import org.junit.jupiter.api.Test;

/** Tests which writer gets an answer, and when. */
class WriterSelectionTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void selectsTheWriterOnlyWhenTheReadHasCompleted() {
        Engine[] engines = fixture.engines(1, 2);
        policy.requestArrived(fixture.generation("a"));
        EngineFixture.setStreams(engines[1], 3);
        policy.readCompleted(fixture.last(), 0, null, false);
        assertSame(engines[2], fixture.last().engine);
    }

    /** A router that has sent nothing and received no report sees all writers as equal. */
    @Test
    void routersWithoutReportsSpreadAnswersOverEqualWriters() {
        int routers = 120;
        int[] answers = new int[4];
        for (int router = 0; router < routers; router++) {
            fixture.settings.routers(routers);
            fixture.settings.seed(router);
            fixture.settings.probesAllowed(false);
            fixture.start();
            Engine[] engines = fixture.engines(1, answers.length);
            fixture.policy.requestArrived(fixture.generation("g"));
            fixture.policy.readCompleted(fixture.last(), 0, null, false);
            for (int i = 0; i < answers.length; i++) {
                answers[i] += fixture.last().engine == engines[1 + i] ? 1 : 0;
            }
        }
        for (int count : answers) {
            assertTrue(
                    count > 15 && count < 50,
                    count + " of " + routers + " answers at one of four equal writers");
        }
    }

    @Test
    void generationsWaitWhileWritersLackCapacityForReadsInProgress() {
        Engine[] engines = fixture.engines(2, 1);
        EngineFixture.setOtherRoutersHeldTokens(engines[2], 200_000 - 4000);
        EngineFixture.setLastReportMs(engines[2], fixture.nowMs);
        for (int i = 0; i < 5; i++) {
            policy.requestArrived(fixture.generation("g" + i));
        }
        assertEquals(3, fixture.sent.size());
    }
}
