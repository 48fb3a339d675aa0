package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.Attempt;
import larchridge.state.CachedPrefix;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.EngineFixture;
import larchridge.state.Generation;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

/** Tests the selection of the reader of a prompt. */
class ReaderSelectionTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();
    private final RoutingPolicy policy = fixture.start();

    @Test
    void selectsTheReaderWithTheFewestTokens() {
        Engine[] engines = fixture.engines(2, 1);
        EngineFixture.setUnreadTokens(engines[0], 900);
        policy.requestArrived(fixture.generation("a"));
        assertSame(engines[1], fixture.last().engine);
    }

    @Test
    void prefersTheLastReaderOfTheSession() {
        Engine[] engines = fixture.engines(3, 1);
        CachedPrefix sessionPrefix = new CachedPrefix("s");
        sessionPrefix.recordSent(engines[2], 500, fixture.nowMs);
        policy.requestArrived(
                fixture.generation(
                        "a",
                        RoutingPolicyFixture.trafficClass(
                                Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        sessionPrefix,
                        1000));
        assertSame(engines[2], fixture.last().engine);
    }

    @Test
    void clientRetryIsReadOnlyByReadersWithShortBacklog() {
        Engine[] engines = fixture.engines(1, 1);
        EngineFixture.setUnreadTokens(engines[0], 4000);
        Generation retry =
                new Generation(
                        "r",
                        RoutingPolicyFixture.trafficClass(
                                Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        null,
                        null,
                        null,
                        1000,
                        0,
                        200,
                        Double.NaN,
                        true,
                        fixture.nowMs,
                        fixture.nowMs + 5000);
        policy.requestArrived(retry);
        assertTrue(fixture.sent.isEmpty());
        EngineFixture.setUnreadTokens(engines[0], 2000);
        policy.wakeUp();
        assertSame(retry, fixture.last().generation);
    }

    @Test
    void sessionStaysWithItsReaderWhenReadingElsewhereCostsMore() {
        Engine[] engines = fixture.engines(2, 1);
        CachedPrefix sessionPrefix = new CachedPrefix("s");
        sessionPrefix.recordSent(engines[0], 9_000, fixture.nowMs);
        new Attempt(fixture.generation("x"), engines[0], true, fixture.nowMs, 4_000, 4_000).open();
        policy.requestArrived(
                fixture.generation(
                        "a",
                        RoutingPolicyFixture.trafficClass(
                                Effect.IDEMPOTENT, DeduplicationScope.ALL),
                        sessionPrefix,
                        9_500));
        assertSame(engines[0], fixture.last().engine);
    }

    @Test
    void engineWithBothRolesReadsThePromptWhenNoReaderHasAShortBacklog() {
        Engine[] engines = fixture.engines(1, 2);
        EngineFixture.setRole(engines[1], Role.BOTH);
        EngineFixture.setStreams(engines[2], 20);
        EngineFixture.setUnreadTokens(engines[0], 50_000);
        policy.requestArrived(fixture.generation("a"));
        assertSame(engines[1], fixture.last().engine);
        EngineFixture.setStreams(engines[1], 20);
        policy.requestArrived(fixture.generation("b"));
        assertEquals(1, fixture.sent.size());
    }
}
