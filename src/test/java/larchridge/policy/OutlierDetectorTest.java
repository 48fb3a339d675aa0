package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointState;
import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

/** Tests the ejection and unejection of engines. */
class OutlierDetectorTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void restartedEngineIsNotEjectedEvenAfterRemoval() {
        Engine[] engines = fixture.engines(1, 1);
        EngineFixture.setEjectedUntilMs(engines[0], fixture.nowMs + 60_000);
        policy.endpointsChanged(
                List.of(fixture.update(engines[0], Role.READER, EndpointState.REMOVED, 0)), false);
        policy.endpointsChanged(
                List.of(
                        fixture.update(
                                engines[0], Role.READER, EndpointState.READY, fixture.nowMs - 1)),
                false);
        assertEquals(0, engines[0].ejectedUntilMs());
    }

    @Test
    void fastFailingEngineIsEjectedThoughItAnswersProbes() {
        Engine[] engines = fixture.engines(2, 0);
        for (int i = 0; i < 3; i++) {
            policy.requestArrived(fixture.generation("g" + i));
            while (fixture.last().isInFlight() && fixture.last().engine == engines[0]) {
                policy.attemptEnded(fixture.last(), AttemptOutcome.FAULT, null, false);
                policy.loadProbed(engines[0], true, null);
            }
            fixture.nowMs += 10;
        }
        int before = fixture.sent.size();
        policy.requestArrived(fixture.generation("last"));
        assertEquals(before + 1, fixture.sent.size());
        assertEquals(engines[1], fixture.last().engine);
        assertTrue(
                fixture.sent.stream().filter(attempt -> attempt.engine == engines[0]).count() <= 2);
    }

    @Test
    void oneBrokenConnectionEjectsNoEngineButTwoDo() {
        Engine[] engines = fixture.engines(2, 0);
        policy.requestArrived(fixture.generation("a"));
        policy.attemptEnded(fixture.last(), AttemptOutcome.CUT, null, false);
        assertEquals(0, engines[0].ejectedUntilMs());
        while (fixture.last().isInFlight() && fixture.last().engine == engines[0]) {
            policy.attemptEnded(fixture.last(), AttemptOutcome.CUT, null, false);
        }
        assertEquals(engines[1], fixture.last().engine);
        assertTrue(engines[0].ejectedUntilMs() > fixture.nowMs);
    }

    @Test
    void fullReaderGetsNoImmediateRetry() {
        Engine[] engines = fixture.engines(2, 0);
        policy.requestArrived(fixture.generation("a"));
        policy.attemptEnded(fixture.last(), AttemptOutcome.FULL, null, false);
        assertEquals(2, fixture.sent.size());
        assertEquals(engines[1], fixture.last().engine);
    }
}
