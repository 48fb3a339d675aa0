package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import larchridge.state.Generation;
import larchridge.state.TrafficClass;
import org.junit.jupiter.api.Test;

/** Tests the admission of generations that wait for a reader. */
class AdmissionQueueTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void waitingGenerationThatCannotMeetItsSloIsGivenUp() {
        Engine[] engines = fixture.engines(1, 1);
        policy.requestArrived(
                fixture.generation(
                        "big",
                        RoutingPolicyFixture.trafficClass(
                                Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        20_000));
        Generation generation = fixture.generation("a");
        policy.requestArrived(generation);
        fixture.nowMs += 1000;
        policy.wakeUp();
        assertTrue(fixture.hasAction("throttle a"));
        assertEquals(1, engines[0].attempts().size());
    }

    @Test
    void highestRevenueIsAdmittedFirst() {
        fixture.engines(1, 1);
        policy.requestArrived(
                fixture.generation(
                        "big",
                        RoutingPolicyFixture.trafficClass(
                                Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        11_000));
        Attempt big = fixture.last();
        policy.requestArrived(fixture.generation("cheap"));
        TrafficClass highRevenue =
                new TrafficClass(
                        "d",
                        Effect.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        5000,
                        3,
                        0.1,
                        1000,
                        0.04,
                        60);
        policy.requestArrived(fixture.generation("dear", highRevenue, null, 8_000));
        fixture.nowMs += 300;
        policy.readCompleted(big, 0, null, false);
        assertEquals("dear", fixture.sent.get(2).generation.id);
    }

    @Test
    void generationThatWaitsAgainIsSentOnce() {
        Engine[] engines = fixture.engines(1, 1);
        policy.requestArrived(fixture.generation("a"));
        EngineFixture.setUnreadTokens(engines[0], 50_000);
        policy.attemptEnded(fixture.last(), AttemptOutcome.FAULT, null, false);
        policy.wakeUp();
        assertEquals(1, fixture.sent.size());
        EngineFixture.setUnreadTokens(engines[0], 0);
        policy.wakeUp();
        policy.wakeUp();
        assertEquals(2, fixture.sent.size());
    }

    @Test
    void staleSlowFirstTokenEstimateDoesNotBlockNewGenerations() {
        fixture.engines(1, 1);
        for (int i = 0; i < 200; i++) {
            policy.requestArrived(fixture.generation("slow" + i));
            Attempt read = fixture.last();
            policy.readCompleted(read, 0, null, false);
            Attempt write = fixture.last();
            fixture.nowMs += 3000;
            policy.responseStarted(write);
            policy.attemptEnded(write, AttemptOutcome.STREAMED, null, true);
        }
        fixture.nowMs += 20_000;
        int sent = fixture.sent.size();
        policy.requestArrived(fixture.generation("a"));
        policy.wakeUp();
        assertEquals(sent + 1, fixture.sent.size());
    }

    @Test
    void admissionPassTriesALimitedNumberOfWaitingGenerations() {
        Engine[] engines = fixture.engines(1, 1);
        EngineFixture.setUnreadTokens(engines[0], 50_000);
        List<Generation> generations = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            generations.add(fixture.generation("g" + i));
            policy.requestArrived(generations.get(i));
        }
        generations.forEach(generation -> generation.startWaiting(-1));
        policy.wakeUp();
        assertEquals(
                100,
                generations.stream()
                        .filter(generation -> generation.minTokensToRead() >= 0)
                        .count());
    }
}
