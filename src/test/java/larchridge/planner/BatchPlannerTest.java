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

/** How much batch work goes, whose, whether again, and whether in time. */
class BatchPlannerTest {
    private static LatencySample calm() {
        LatencySample feeling = new LatencySample();
        for (int i = 0; i < 10; i++) {
            feeling.begun(0.1);
        }
        return feeling;
    }

    private static LatencySample turned() {
        LatencySample feeling = new LatencySample();
        feeling.turnedAway();
        return feeling;
    }

    /** A gap that is used as far as it goes, told so often of calm. */
    private static double grown(BatchConcurrencyLimiter gap, double fromMs, double forMs) {
        double now = fromMs;
        for (; now < fromMs + forMs; now += 100) {
            gap.open(gap.limit(now));
            gap.felt(calm(), now);
        }
        return now;
    }

    @Test
    void limitGrowsWhileItIsUsedAndCalm() {
        BatchConcurrencyLimiter gap = new BatchConcurrencyLimiter(100);
        double now = grown(gap, 0, 20_000);
        assertEquals(100, gap.limit(now));
        BatchConcurrencyLimiter idle = new BatchConcurrencyLimiter(100);
        for (now = 0; now < 20_000; now += 100) {
            idle.felt(calm(), now);
        }
        assertEquals(2, idle.limit(now));
    }

    @Test
    void turnedAwayClosesTheGapLongerEachTime() {
        BatchConcurrencyLimiter gap = new BatchConcurrencyLimiter(100);
        double now = grown(gap, 0, 10_000);
        double[] closed = new double[3];
        for (int i = 0; i < 3; i++) {
            gap.open(1);
            gap.felt(turned(), now);
            double from = now;
            while (gap.limit(now) == 0) {
                now += 50;
            }
            closed[i] = now - from;
            now = grown(gap, now, 2000);
        }
        assertEquals(List.of(1000.0, 2000.0, 4000.0), List.of(closed[0], closed[1], closed[2]));
    }

    /**
     * Guards against: each blow of a storm would lower the place to which the limit comes back, and
     * it would take minutes.
     */
    @Test
    void limitIsSoonBackAfterAStorm() {
        BatchConcurrencyLimiter gap = new BatchConcurrencyLimiter(40);
        double now = grown(gap, 0, 20_000);
        double before = gap.limit(now);
        for (double end = now + 6000; now < end; now += 100) {
            gap.open(gap.limit(now));
            gap.felt(turned(), now);
        }
        assertTrue(gap.limit(now) < 0.1 * before);
        now = grown(gap, now, 10_000);
        assertTrue(gap.limit(now) > 0.5 * before, gap.limit(now) + " of " + before);
    }

    /** Guards against: trouble that is not of its making would keep batch work out for ever. */
    @Test
    void troubleWhileNothingIsOpenClosesNothing() {
        BatchConcurrencyLimiter gap = new BatchConcurrencyLimiter(100);
        gap.felt(turned(), 0);
        assertEquals(2, gap.limit(0));
    }

    @Test
    void laterFirstTokensLowerTheLimitOnceAWindow() {
        BatchConcurrencyLimiter gap = new BatchConcurrencyLimiter(100);
        double now = grown(gap, 0, 10_000);
        double before = gap.limit(now);
        LatencySample late = new LatencySample();
        for (int i = 0; i < 20; i++) {
            late.begun(0.4);
        }
        for (int i = 0; i < 4; i++) {
            gap.felt(late, now + 1000 + i);
        }
        assertEquals(0.6 * before, gap.limit(now + 1100), 1e-9);
    }

    /**
     * A pool that carries so many lines without harm; beyond that first tokens come later by as
     * much. How well the gap is used, and how far the limit swings once it has settled.
     */
    @Test
    void settlesNearWhatCanBeCarriedWithSmallSwings() {
        for (int carries : new int[] {10, 40, 150}) {
            BatchConcurrencyLimiter gap = new BatchConcurrencyLimiter(1000);
            double used = 0;
            double over = 0;
            int looks = 0;
            for (double now = 0; now < 300_000; now += 100) {
                double open = gap.limit(now);
                gap.open(open);
                LatencySample feeling = new LatencySample();
                for (int i = 0; i < 4; i++) {
                    feeling.begun(0.1 + Math.max(0, open - carries) / carries);
                }
                gap.felt(feeling, now);
                if (now > 60_000) {
                    looks++;
                    used += Math.min(open, carries) / carries;
                    over += Math.max(0, open - carries) / carries;
                }
            }
            assertTrue(used / looks > 0.8, carries + ": used " + used / looks);
            assertTrue(over / looks < 0.1, carries + ": over by " + over / looks);
        }
    }

    @Test
    void tenantsGetTheirSharesAndWithinOneTheFirstDueGoes() {
        BatchPlanner planner = new BatchPlanner(1000);
        BatchWork late = planner.joined("late", "a", 1, 2000, 1, 1e9);
        BatchWork soon = planner.joined("soon", "a", 1, 1000, 2, 1e9);
        BatchWork other = planner.joined("other", "b", 3, 9000, 3, 1e9);
        int[] counts = new int[3];
        for (int i = 0; i < 400; i++) {
            BatchWork work = planner.next(0);
            counts[work == late ? 0 : work == soon ? 1 : 2]++;
            planner.out(work, work == other ? 300 : 100);
            planner.back(work, work == other ? 300 : 100, true, 0);
        }
        assertEquals(0, counts[0]);
        assertEquals(200, counts[1], 2);
        assertEquals(200, counts[2], 2);
    }

    /**
     * Guards against: who had nothing to do would come back with a claim on all that it did not
     * use, and starve the others.
     */
    @Test
    void tenantThatComesLaterHasNoClaimOnThePast() {
        BatchPlanner planner = new BatchPlanner(1000);
        BatchWork first = planner.joined("first", "a", 1, 1000, 1, 1e9);
        for (int i = 0; i < 1000; i++) {
            planner.out(first, 100);
            planner.back(first, 100, true, 0);
        }
        BatchWork second = planner.joined("second", "b", 1, 1000, 2, 1e9);
        int ofSecond = 0;
        for (int i = 0; i < 100; i++) {
            BatchWork work = planner.next(0);
            ofSecond += work == second ? 1 : 0;
            planner.out(work, 100);
            planner.back(work, 100, true, 0);
        }
        assertEquals(50, ofSecond, 1);
    }

    @Test
    void tenantThatRestsLetsTheOthersGo() {
        BatchPlanner planner = new BatchPlanner(1000);
        BatchWork poor = planner.joined("poor", "a", 1, 1000, 1, 10);
        BatchWork rich = planner.joined("rich", "b", 1, 9000, 2, 10);
        planner.rests(poor, 500);
        assertSame(rich, planner.next(0));
        planner.ready(rich, false);
        assertNull(planner.next(0));
        assertEquals(500, planner.nextRestMs());
        assertSame(poor, planner.next(500));
    }

    @Test
    void nothingGoesBeyondTheLimit() {
        BatchPlanner planner = new BatchPlanner(1000);
        BatchWork work = planner.joined("w", "a", 1, 1000, 1, 1e9);
        Deque<BatchWork> out = new ArrayDeque<>();
        while (planner.next(0) != null) {
            planner.out(work, 500);
            out.add(work);
        }
        assertEquals(2, out.size());
    }

    @Test
    void windowThatCantBeMetIsToldLongBeforeItsEnd() {
        BatchPlanner planner = new BatchPlanner(1000);
        BatchWork small = planner.joined("small", "a", 1, 60_000, 1, 100);
        BatchWork large = planner.joined("large", "a", 1, 600_000, 2, 100_000);
        List<BatchWork> told = new ArrayList<>();
        double now = 0;
        for (; now < 20_000 && told.isEmpty(); now += 100) {
            planner.out(small, 100);
            planner.back(small, 100, true, now);
            planner.recorded(small);
            told.addAll(planner.judge(now));
        }
        assertEquals(List.of(large), told);
        assertTrue(now < 10_000, "told after " + now);
        assertTrue(large.isAtRisk());
        assertFalse(small.isAtRisk());
    }

    @Test
    void whatGoesAgain() {
        BatchRetryPolicy attempts = new BatchRetryPolicy(3, new Random(1));
        // end, effect, attempts -> again
        Object[][] table = {
            {BatchRetryPolicy.End.THROTTLED, Effect.SIDE_EFFECTING, 0, true},
            {BatchRetryPolicy.End.TURNED_AWAY, Effect.SIDE_EFFECTING, 0, true},
            {BatchRetryPolicy.End.OVER_BUDGET, Effect.SIDE_EFFECTING, 0, true},
            {BatchRetryPolicy.End.TERMINATED, Effect.IDEMPOTENT, 1, true},
            {BatchRetryPolicy.End.TERMINATED, Effect.IDEMPOTENT, 3, false},
            {BatchRetryPolicy.End.TERMINATED, Effect.DEDUPLICATED, 1, false},
            {BatchRetryPolicy.End.TERMINATED, Effect.SIDE_EFFECTING, 1, false},
            {BatchRetryPolicy.End.PROCESS_ENDED, Effect.IDEMPOTENT, 1, true},
            {BatchRetryPolicy.End.PROCESS_ENDED, Effect.IDEMPOTENT, 3, false},
            {BatchRetryPolicy.End.PROCESS_ENDED, Effect.DEDUPLICATED, 1, false},
            {BatchRetryPolicy.End.PROCESS_ENDED, Effect.SIDE_EFFECTING, 1, false}
        };
        for (Object[] row : table) {
            double after =
                    attempts.againAfterMs(
                            (BatchRetryPolicy.End) row[0], (Effect) row[1], (int) row[2], 1, 0);
            assertEquals(row[3], after >= 0, row[0] + " " + row[1] + " " + row[2]);
        }
        assertTrue(
                attempts.againAfterMs(
                                BatchRetryPolicy.End.OVER_BUDGET, Effect.IDEMPOTENT, 0, 1, 7000)
                        >= 7000);
        assertTrue(
                attempts.againAfterMs(BatchRetryPolicy.End.THROTTLED, Effect.IDEMPOTENT, 0, 30, 0)
                        <= 30_000);
    }
}
