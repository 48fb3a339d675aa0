package larchridge.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import larchridge.state.Effect;
import org.junit.jupiter.api.Test;

/** The limit on open lines, fairness between tenants, at-risk prediction and retries. */
class BatchPlannerTest {
    private static LatencySample fastSample() {
        LatencySample sample = new LatencySample();
        for (int i = 0; i < 10; i++) {
            sample.recordFirstToken(0.1);
        }
        return sample;
    }

    private static LatencySample overloadFailureSample() {
        LatencySample sample = new LatencySample();
        sample.recordOverloadFailure();
        return sample;
    }

    /** Uses the limit fully, with samples of low latency only; returns the time at the end. */
    private static double growAtFullUse(
            BatchConcurrencyLimiter limiter, double startMs, double durationMs) {
        double now = startMs;
        for (; now < startMs + durationMs; now += 100) {
            limiter.recordOpenWork(limiter.limit(now));
            limiter.addSample(fastSample(), now);
        }
        return now;
    }

    @Test
    void limitGrowsWhileItIsUsedAndLatencyIsLow() {
        BatchConcurrencyLimiter limiter = new BatchConcurrencyLimiter(100);
        double now = growAtFullUse(limiter, 0, 20_000);
        assertEquals(100, limiter.limit(now));
        BatchConcurrencyLimiter idle = new BatchConcurrencyLimiter(100);
        for (now = 0; now < 20_000; now += 100) {
            idle.addSample(fastSample(), now);
        }
        assertEquals(2, idle.limit(now));
    }

    @Test
    void overloadFailuresPauseBatchWorkLongerEachTime() {
        BatchConcurrencyLimiter limiter = new BatchConcurrencyLimiter(100);
        double now = growAtFullUse(limiter, 0, 10_000);
        double[] pausesMs = new double[3];
        for (int i = 0; i < 3; i++) {
            limiter.recordOpenWork(1);
            limiter.addSample(overloadFailureSample(), now);
            double pauseStartMs = now;
            while (limiter.limit(now) == 0) {
                now += 50;
            }
            pausesMs[i] = now - pauseStartMs;
            now = growAtFullUse(limiter, now, 2000);
        }
        assertEquals(
                List.of(1000.0, 2000.0, 4000.0), List.of(pausesMs[0], pausesMs[1], pausesMs[2]));
    }

    /**
     * Guards against: each of several overload failures in a row would lower the level to which the
     * limit recovers, so that recovery would take minutes.
     */
    @Test
    void limitRecoversSoonAfterRepeatedOverloadFailures() {
        BatchConcurrencyLimiter limiter = new BatchConcurrencyLimiter(40);
        double now = growAtFullUse(limiter, 0, 20_000);
        double before = limiter.limit(now);
        for (double end = now + 6000; now < end; now += 100) {
            limiter.recordOpenWork(limiter.limit(now));
            limiter.addSample(overloadFailureSample(), now);
        }
        assertTrue(limiter.limit(now) < 0.1 * before);
        now = growAtFullUse(limiter, now, 10_000);
        assertTrue(limiter.limit(now) > 0.5 * before, limiter.limit(now) + " of " + before);
    }

    /**
     * Guards against: overload failures that batch work did not cause would keep it paused forever.
     */
    @Test
    void overloadFailureWithoutOpenBatchWorkDoesNotPause() {
        BatchConcurrencyLimiter limiter = new BatchConcurrencyLimiter(100);
        limiter.addSample(overloadFailureSample(), 0);
        assertEquals(2, limiter.limit(0));
    }

    @Test
    void laterFirstTokensLowerTheLimitOncePerWindow() {
        BatchConcurrencyLimiter limiter = new BatchConcurrencyLimiter(100);
        double now = growAtFullUse(limiter, 0, 10_000);
        double before = limiter.limit(now);
        LatencySample late = new LatencySample();
        for (int i = 0; i < 20; i++) {
            late.recordFirstToken(0.4);
        }
        for (int i = 0; i < 4; i++) {
            limiter.addSample(late, now + 1000 + i);
        }
        assertEquals(0.6 * before, limiter.limit(now + 1100), 1e-9);
    }

    /**
     * Simulates engines with a capacity in lines, beyond which first tokens are delayed in
     * proportion to the excess. Once the limit has settled, it must use most of the capacity and
     * exceed it only a little on average.
     */
    @Test
    void limitSettlesNearTheCapacityWithSmallSwings() {
        for (int capacityLines : new int[] {10, 40, 150}) {
            BatchConcurrencyLimiter limiter = new BatchConcurrencyLimiter(1000);
            double usedShare = 0;
            double excessShare = 0;
            int samples = 0;
            for (double now = 0; now < 300_000; now += 100) {
                double open = limiter.limit(now);
                limiter.recordOpenWork(open);
                LatencySample sample = new LatencySample();
                for (int i = 0; i < 4; i++) {
                    sample.recordFirstToken(
                            0.1 + Math.max(0, open - capacityLines) / capacityLines);
                }
                limiter.addSample(sample, now);
                if (now > 60_000) {
                    samples++;
                    usedShare += Math.min(open, capacityLines) / capacityLines;
                    excessShare += Math.max(0, open - capacityLines) / capacityLines;
                }
            }
            assertTrue(
                    usedShare / samples > 0.8,
                    capacityLines + ": used share " + usedShare / samples);
            assertTrue(
                    excessShare / samples < 0.1,
                    capacityLines + ": excess share " + excessShare / samples);
        }
    }

    @Test
    void tenantsGetTheirSharesAndEachStartsItsEarliestDeadlineFirst() {
        BatchPlanner planner = new BatchPlanner(1000);
        PlannedBatch late = planner.addBatch("late", "a", 1, 2000, 1, 1e9);
        PlannedBatch soon = planner.addBatch("soon", "a", 1, 1000, 2, 1e9);
        PlannedBatch other = planner.addBatch("other", "b", 3, 9000, 3, 1e9);
        int[] startedLines = new int[3];
        for (int i = 0; i < 400; i++) {
            PlannedBatch batch = planner.nextBatch(0);
            startedLines[batch == late ? 0 : batch == soon ? 1 : 2]++;
            planner.lineStarted(batch, batch == other ? 300 : 100);
            planner.lineEnded(batch, batch == other ? 300 : 100, true, 0);
        }
        assertEquals(0, startedLines[0]);
        assertEquals(200, startedLines[1], 2);
        assertEquals(200, startedLines[2], 2);
    }

    /**
     * Guards against: a tenant that was idle would return with a claim on all the tokens that it
     * did not use, and starve the others.
     */
    @Test
    void tenantThatJoinsLaterHasNoClaimOnThePast() {
        BatchPlanner planner = new BatchPlanner(1000);
        PlannedBatch first = planner.addBatch("first", "a", 1, 1000, 1, 1e9);
        for (int i = 0; i < 1000; i++) {
            planner.lineStarted(first, 100);
            planner.lineEnded(first, 100, true, 0);
        }
        PlannedBatch second = planner.addBatch("second", "b", 1, 1000, 2, 1e9);
        int startedOfSecond = 0;
        for (int i = 0; i < 100; i++) {
            PlannedBatch batch = planner.nextBatch(0);
            startedOfSecond += batch == second ? 1 : 0;
            planner.lineStarted(batch, 100);
            planner.lineEnded(batch, 100, true, 0);
        }
        assertEquals(50, startedOfSecond, 1);
    }

    @Test
    void pausedTenantLetsTheOthersRun() {
        BatchPlanner planner = new BatchPlanner(1000);
        PlannedBatch ofPausedTenant = planner.addBatch("poor", "a", 1, 1000, 1, 10);
        PlannedBatch other = planner.addBatch("rich", "b", 1, 9000, 2, 10);
        planner.pauseTenant(ofPausedTenant, 500);
        assertSame(other, planner.nextBatch(0));
        planner.setReady(other, false);
        assertNull(planner.nextBatch(0));
        assertEquals(500, planner.nextPauseEndMs());
        assertSame(ofPausedTenant, planner.nextBatch(500));
    }

    @Test
    void noLineStartsBeyondTheLimit() {
        BatchPlanner planner = new BatchPlanner(1000);
        PlannedBatch batch = planner.addBatch("w", "a", 1, 1000, 1, 1e9);
        Deque<PlannedBatch> started = new ArrayDeque<>();
        while (planner.nextBatch(0) != null) {
            planner.lineStarted(batch, 500);
            started.add(batch);
        }
        assertEquals(2, started.size());
    }

    @Test
    void batchAtRiskIsReportedLongBeforeItsWindowEnds() {
        BatchPlanner planner = new BatchPlanner(1000);
        PlannedBatch small = planner.addBatch("small", "a", 1, 60_000, 1, 100);
        PlannedBatch large = planner.addBatch("large", "a", 1, 600_000, 2, 100_000);
        List<PlannedBatch> atRisk = new ArrayList<>();
        double now = 0;
        for (; now < 20_000 && atRisk.isEmpty(); now += 100) {
            planner.lineStarted(small, 100);
            planner.lineEnded(small, 100, true, now);
            planner.lineRecorded(small);
            atRisk.addAll(planner.updateAtRisk(now));
        }
        assertEquals(List.of(large), atRisk);
        assertTrue(now < 10_000, "reported after " + now + " ms");
        assertTrue(large.isAtRisk());
        assertFalse(small.isAtRisk());
    }

    @Test
    void retriesDependOnOutcomeEffectAndAttempts() {
        BatchRetryPolicy policy = new BatchRetryPolicy(3, new Random(1));
        // outcome, effect, attempts, whether it is retried
        Object[][] table = {
            {BatchRetryPolicy.Outcome.THROTTLED, Effect.SIDE_EFFECTING, 0, true},
            {BatchRetryPolicy.Outcome.NOT_ACCEPTED, Effect.SIDE_EFFECTING, 0, true},
            {BatchRetryPolicy.Outcome.OVER_BUDGET, Effect.SIDE_EFFECTING, 0, true},
            {BatchRetryPolicy.Outcome.TERMINATED, Effect.IDEMPOTENT, 1, true},
            {BatchRetryPolicy.Outcome.TERMINATED, Effect.IDEMPOTENT, 3, false},
            {BatchRetryPolicy.Outcome.TERMINATED, Effect.DEDUPLICATED, 1, false},
            {BatchRetryPolicy.Outcome.TERMINATED, Effect.SIDE_EFFECTING, 1, false},
            {BatchRetryPolicy.Outcome.PROCESS_ENDED, Effect.IDEMPOTENT, 1, true},
            {BatchRetryPolicy.Outcome.PROCESS_ENDED, Effect.IDEMPOTENT, 3, false},
            {BatchRetryPolicy.Outcome.PROCESS_ENDED, Effect.DEDUPLICATED, 1, false},
            {BatchRetryPolicy.Outcome.PROCESS_ENDED, Effect.SIDE_EFFECTING, 1, false}
        };
        for (Object[] row : table) {
            double delayMs =
                    policy.retryDelayMs(
                            (BatchRetryPolicy.Outcome) row[0], (Effect) row[1], (int) row[2], 1, 0);
            assertEquals(row[3], delayMs >= 0, row[0] + " " + row[1] + " " + row[2]);
        }
        assertTrue(
                policy.retryDelayMs(
                                BatchRetryPolicy.Outcome.OVER_BUDGET, Effect.IDEMPOTENT, 0, 1, 7000)
                        >= 7000);
        assertTrue(
                policy.retryDelayMs(BatchRetryPolicy.Outcome.THROTTLED, Effect.IDEMPOTENT, 0, 30, 0)
                        <= 30_000);
    }
}
