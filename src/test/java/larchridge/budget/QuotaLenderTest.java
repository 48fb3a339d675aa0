package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class QuotaLenderTest {
    private static final double INF = Double.POSITIVE_INFINITY;
    private final QuotaLender lender = new QuotaLender(0.8);
    private double now = 1000;

    /** 0.8 of a token a millisecond up to 800 are lent. */
    @BeforeEach
    void purse() {
        lender.purse("t", new QuotaGrant(1, 1000, INF, INF), now);
    }

    @Test
    void beginsEmptyAndSaysWhenItCouldLend() {
        assertEquals(0, lender.lend("t", 100, 0, now));
        assertEquals(125, lender.backInMs("t", 100, now), 1e-9);
        assertEquals(100, lender.lend("t", 100, 0, now + 125), 1e-9);
    }

    @Test
    void lendsAllOrNothingAndHalfOfTheRestAhead() {
        now += 1000;
        assertEquals(300 + 250, lender.lend("t", 300, 9999, now), 1e-9);
        assertEquals(0, lender.lend("t", 251, 9999, now), 1e-9);
        assertEquals(250, lender.lend("t", 250, 0, now), 1e-9);
    }

    @Test
    void generationOverTheBurstIsLentFromAFullBucketAndPaidOff() {
        now += 1000;
        assertEquals(2000, lender.lend("t", 2000, 0, now), 1e-9);
        assertEquals(0, lender.lend("t", 1, 0, now + 1400), 1e-9);
        assertEquals(1, lender.lend("t", 1, 0, now + 1502), 1e-9);
    }

    @Test
    void nonsenseLendsNothingAndLeavesNoDebt() {
        now += 1000;
        for (double need : new double[] {Double.NaN, -5, INF, 1e300}) {
            assertEquals(0, lender.lend("t", need, 0, now));
        }
        assertEquals(0, lender.lend("t", 10, Double.NaN, now));
        assertEquals(0, lender.lend("nobody", 10, 0, now));
        assertEquals(800, lender.lend("t", 800, 0, now), 1e-9);
    }

    @Test
    void loweredBudgetLendsNoMoreThanItsNewBurst() {
        now += 1000;
        lender.purse("t", new QuotaGrant(0.1, 100, INF, INF), now);
        assertEquals(60, lender.lend("t", 60, 0, now), 1e-9);
        assertEquals(0, lender.lend("t", 60, 0, now), 1e-9);
        assertEquals(0, lender.lend("t", 60, 0, now - 500), 1e-9);
    }
}
