package larchridge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import larchridge.state.CachedPrefix;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Generation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which readers are expected to have prefixes cached. */
class PrefixAffinityTest {
    private final RoutingPolicyFixture fixture = new RoutingPolicyFixture();

    @BeforeEach
    void startPolicy() {
        fixture.start();
    }

    @Test
    void routersThatNeverSawASessionAgreeOnItsReader() {
        CachedPrefix sharedPrefix = new CachedPrefix("p");
        for (int router = 0; router < 20; router++) {
            fixture.settings.seed(router);
            fixture.start();
            fixture.engines(8, 2);
            fixture.policy.requestArrived(
                    new Generation(
                            "g",
                            RoutingPolicyFixture.trafficClass(
                                    Effect.IDEMPOTENT, DeduplicationScope.ALL),
                            null,
                            new CachedPrefix("s"),
                            sharedPrefix,
                            3000,
                            2000,
                            200,
                            Double.NaN,
                            false,
                            fixture.nowMs,
                            fixture.nowMs + 5000));
        }
        assertEquals(1, fixture.sent.stream().map(attempt -> attempt.engine.id).distinct().count());
    }

    @Test
    void prefixCountsAsCachedAtEveryReaderItWasSentTo() {
        Engine[] engines = fixture.engines(2, 1);
        CachedPrefix prefix = new CachedPrefix("t");
        prefix.recordSent(engines[0], 900, 1);
        prefix.recordSent(engines[1], 900, 2);
        assertEquals(900, prefix.cachedTokensAt(engines[0]));
        assertSame(engines[1], prefix.lastReader());
    }
}
