package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class QuotaLenderTest {
    private static final double INF = Double.POSITIVE_INFINITY;
    private final QuotaLender lender = new QuotaLender(0.8);
    private double now = 1000;

    /** The lender has 0.8 tokens a millisecond, up to 800. */
    @BeforeEach
    void configureBudget() {
        lender.configure("t", new BudgetLimits(1, 1000, INF, INF), now);
    }

    @Test
    void startsEmptyAndAdvisesWhenToRetry() {
        assertEquals(0, lender.grant("t", 100, 0, now));
        assertEquals(125, lender.retryAfterMs("t", 100, now), 1e-9);
        assertEquals(100, lender.grant("t", 100, 0, now + 125), 1e-9);
    }

    @Test
    void grantsNeededTokensCompletelyAndHalfOfTheRestAsDesired() {
        now += 1000;
        assertEquals(300 + 250, lender.grant("t", 300, 9999, now), 1e-9);
        assertEquals(0, lender.grant("t", 251, 9999, now), 1e-9);
        assertEquals(250, lender.grant("t", 250, 0, now), 1e-9);
    }

    @Test
    void requestOverTheBurstIsGrantedFromAFullBucketAndPaidOff() {
        now += 1000;
        assertEquals(2000, lender.grant("t", 2000, 0, now), 1e-9);
        assertEquals(0, lender.grant("t", 1, 0, now + 1400), 1e-9);
        assertEquals(1, lender.grant("t", 1, 0, now + 1502), 1e-9);
    }

    @Test
    void invalidRequestsGrantNothingAndLeaveNoDebt() {
        now += 1000;
        for (double neededTokens : new double[] {Double.NaN, -5, INF, 1e300}) {
            assertEquals(0, lender.grant("t", neededTokens, 0, now));
        }
        assertEquals(0, lender.grant("t", 10, Double.NaN, now));
        assertEquals(0, lender.grant("nobody", 10, 0, now));
        assertEquals(800, lender.grant("t", 800, 0, now), 1e-9);
    }

    @Test
    void loweredBudgetGrantsNoMoreThanItsNewBurst() {
        now += 1000;
        lender.configure("t", new BudgetLimits(0.1, 100, INF, INF), now);
        assertEquals(60, lender.grant("t", 60, 0, now), 1e-9);
        assertEquals(0, lender.grant("t", 60, 0, now), 1e-9);
        assertEquals(0, lender.grant("t", 60, 0, now - 500), 1e-9);
    }
}
