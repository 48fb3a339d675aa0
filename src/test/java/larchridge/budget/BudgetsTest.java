package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class BudgetsTest {
    private static final double INF = Double.POSITIVE_INFINITY;
    private double now = 1_780_000_000_000.0;
    private final Budgets budgets =
            new Budgets(new BudgetLimits(1, 10_000, INF, INF), 1, 1, 500, new Random(1));

    private static BudgetLimits rateLimit(double tokensPerSecond, double burstTokens) {
        return new BudgetLimits(tokensPerSecond / 1000, burstTokens, INF, INF);
    }

    private BudgetDecision requestAdmission(String tenant, double tokens) {
        return budgets.requestAdmission(tenant, "p", tokens, now);
    }

    @Test
    void burstIsAdmittedAndThenTheRate() {
        Budgets unlimitedService = new Budgets(BudgetLimits.UNLIMITED, 1, 1, 500, new Random(1));
        unlimitedService.configureTenant("a", null, rateLimit(1000, 500), now);
        assertTrue(unlimitedService.requestAdmission("a", "p", 500, now).isAdmitted());
        BudgetDecision rejection = unlimitedService.requestAdmission("a", "p", 300, now);
        assertFalse(rejection.isAdmitted());
        assertEquals(300, rejection.retryAfterMs(), 1e-6);
        now += rejection.retryAfterMs() + 0.001;
        assertTrue(unlimitedService.requestAdmission("a", "p", 300, now).isAdmitted());
    }

    @Test
    void requestOverTheBurstIsAdmittedOnAFullBucketAndPaidOff() {
        Budgets unlimitedService = new Budgets(BudgetLimits.UNLIMITED, 1, 1, 500, new Random(1));
        unlimitedService.configureTenant("a", null, rateLimit(1000, 500), now);
        assertTrue(unlimitedService.requestAdmission("a", "p", 5000, now).isAdmitted());
        now += 4900;
        BudgetDecision rejection = unlimitedService.requestAdmission("a", "p", 5000, now);
        assertFalse(rejection.isAdmitted());
        now += rejection.retryAfterMs() + 0.001;
        assertTrue(unlimitedService.requestAdmission("a", "p", 5000, now).isAdmitted());
    }

    @Test
    void settlingReturnsUnusedTokensOnce() {
        Budgets unlimitedService = new Budgets(BudgetLimits.UNLIMITED, 1, 1, 500, new Random(1));
        unlimitedService.configureTenant("a", null, rateLimit(1, 500), now);
        Charge charge = unlimitedService.requestAdmission("a", "p", 500, now).charge();
        unlimitedService.settle(charge, 100, now);
        unlimitedService.settle(charge, 100, now);
        assertTrue(unlimitedService.requestAdmission("a", "p", 400, now).isAdmitted());
        assertFalse(unlimitedService.requestAdmission("a", "p", 10, now).isAdmitted());
    }

    @Test
    void inFlightLimitHoldsUntilAGenerationEnds() {
        budgets.configureTenant("a", null, new BudgetLimits(INF, INF, 1000, INF), now);
        Charge first = requestAdmission("a", 800).charge();
        assertFalse(requestAdmission("a", 300).isAdmitted());
        budgets.settle(first, 800, now);
        assertTrue(requestAdmission("a", 300).isAdmitted());
    }

    @Test
    void requestOverTheInFlightLimitRunsAlone() {
        budgets.configureTenant("a", null, new BudgetLimits(INF, INF, 1000, INF), now);
        assertTrue(requestAdmission("a", 4000).isAdmitted());
        assertFalse(requestAdmission("a", 1).isAdmitted());
    }

    @Test
    void monthlyLimitIsResetWithTheMonth() {
        budgets.configureTenant("a", null, new BudgetLimits(INF, INF, INF, 1000), now);
        budgets.settle(requestAdmission("a", 900).charge(), 900, now);
        BudgetDecision rejection = requestAdmission("a", 200);
        assertFalse(rejection.isAdmitted());
        now += rejection.retryAfterMs();
        assertTrue(requestAdmission("a", 200).isAdmitted());
    }

    @Test
    void restoredMonthlyUsageCounts() {
        budgets.configureTenant("a", null, new BudgetLimits(INF, INF, INF, 1000), now);
        budgets.restoreMonthlyUsage("a", "p", 950, now);
        assertFalse(requestAdmission("a", 100).isAdmitted());
    }

    @Test
    void spareTokensAreBorrowedButNotWhatOthersAreOwed() {
        budgets.configureTenant("a", null, rateLimit(100, 1000), now);
        budgets.configureTenant("b", null, rateLimit(800, 8000), now);
        assertTrue(requestAdmission("a", 1000).isAdmitted());
        // The service has 9000 left, of which 8000 are reserved for b, and 400 more for its rate
        // over giveBackMs.
        BudgetDecision borrowed = requestAdmission("a", 600);
        assertTrue(borrowed.isAdmitted() && borrowed.charge().isBorrowed());
        assertFalse(requestAdmission("a", 600).isAdmitted());
        assertTrue(requestAdmission("b", 8000).isAdmitted());
    }

    @Test
    void idleTenantIsNeverStarvedByABusyOne() {
        budgets.configureTenant("a", null, rateLimit(500, 5000), now);
        budgets.configureTenant("b", null, rateLimit(500, 5000), now);
        for (int i = 0; i < 60_000; i++) {
            now += 1;
            requestAdmission("a", 50);
            if (i % 1000 == 999) {
                // The idle tenant requests its whole share of a second at once.
                assertTrue(requestAdmission("b", 500).isAdmitted(), "second " + i / 1000);
            }
        }
    }

    @Test
    void loweredBudgetAppliesImmediately() {
        Budgets unlimitedService = new Budgets(BudgetLimits.UNLIMITED, 1, 1, 500, new Random(1));
        unlimitedService.configureTenant("a", null, new BudgetLimits(1, 10_000, 10_000, INF), now);
        Charge inFlight = unlimitedService.requestAdmission("a", "p", 9000, now).charge();
        unlimitedService.configureTenant("a", null, new BudgetLimits(0.1, 100, 100, INF), now);
        assertFalse(unlimitedService.requestAdmission("a", "p", 10, now).isAdmitted());
        unlimitedService.settle(inFlight, 9000, now);
        now += 1000;
        assertTrue(unlimitedService.requestAdmission("a", "p", 90, now).isAdmitted());
    }

    @Test
    void clockThatStepsBackAccumulatesNothing() {
        Budgets unlimitedService = new Budgets(BudgetLimits.UNLIMITED, 1, 1, 500, new Random(1));
        unlimitedService.configureTenant("a", null, rateLimit(1000, 500), now);
        unlimitedService.requestAdmission("a", "p", 500, now);
        for (int i = 0; i < 100; i++) {
            now -= 100;
            assertFalse(unlimitedService.requestAdmission("a", "p", 100, now).isAdmitted());
            now += 100;
            assertFalse(unlimitedService.requestAdmission("a", "p", 100, now).isAdmitted());
        }
    }

    @Test
    void productsOfATenantAreIndependent() {
        budgets.configureTenant("a", null, rateLimit(900, 9000), now);
        budgets.configureProduct("a", "short", rateLimit(100, 1000), now);
        budgets.configureProduct("a", "long", rateLimit(100, 1000), now);
        assertTrue(budgets.requestAdmission("a", "long", 1000, now).isAdmitted());
        assertTrue(budgets.requestAdmission("a", "short", 1000, now).isAdmitted());
    }

    @Test
    void unknownTenantHasTheServicesBudget() {
        assertTrue(requestAdmission("stranger", 10_000).isAdmitted());
        assertFalse(requestAdmission("stranger", 10_000).isAdmitted());
    }

    @Test
    void tenantWithoutARateLimitIsLimitedByTheServices() {
        budgets.configureTenant("free", null, BudgetLimits.UNLIMITED, now);
        budgets.configureTenant("b", null, rateLimit(500, 5000), now);
        assertTrue(requestAdmission("free", 4500).isAdmitted());
        assertFalse(requestAdmission("free", 4500).isAdmitted());
        assertTrue(requestAdmission("b", 5000).isAdmitted());
    }
}
