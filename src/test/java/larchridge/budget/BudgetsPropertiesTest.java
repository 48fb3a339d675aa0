package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class BudgetsPropertiesTest {
    private static final double INF = Double.POSITIVE_INFINITY;

    /** In any window a router admits at most rate x window + burst + one generation. */
    @Property(tries = 200, seed = "20261201")
    void oneRouterNeverExceedsItsBound(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 10, max = 3000) int burst,
            @ForAll @IntRange(min = 1, max = 2000) int maxTokens) {
        Random random = new Random(seed);
        Budgets budgets = new Budgets(BudgetLimits.UNLIMITED, 1, 1, 500, new Random(seed));
        double now = 1e12;
        budgets.configureTenant("a", null, new BudgetLimits(0.5, burst, INF, INF), now);
        List<double[]> admissions = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            now += random.nextDouble() * 40;
            double tokens = 1 + random.nextInt(maxTokens);
            if (budgets.requestAdmission("a", "p", tokens, now).isAdmitted()) {
                admissions.add(new double[] {now, tokens});
            }
        }
        for (int i = 0; i < admissions.size(); i++) {
            double sum = 0;
            for (int j = i; j < admissions.size(); j++) {
                sum += admissions.get(j)[1];
                double bound =
                        0.5 * (admissions.get(j)[0] - admissions.get(i)[0]) + burst + maxTokens;
                assertTrue(sum <= bound + 1e-6, sum + " tokens exceed " + bound);
            }
        }
    }

    /**
     * Where the routers' parts of the burst are smaller than a generation, the sum admitted over a
     * long time is at most the budget and at least half of it, within five standard deviations of
     * the draws.
     */
    @Property(tries = 40, seed = "20261201")
    void routersTogetherKeepTheBudget(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 2, max = 170) int routers) {
        Random random = new Random(seed);
        double rate = 2;
        double burst = 4000;
        double generationTokens = 1000;
        List<Budgets> routerBudgets = new ArrayList<>();
        double now = 1e12;
        for (int i = 0; i < routers; i++) {
            Budgets budgets =
                    new Budgets(BudgetLimits.UNLIMITED, routers, 1, 500, new Random(seed + i));
            budgets.configureTenant("a", null, new BudgetLimits(rate, burst, INF, INF), now);
            routerBudgets.add(budgets);
        }
        double start = now;
        double sum = 0;
        for (int i = 0; i < 4000; i++) {
            now += 10;
            if (routerBudgets
                    .get(random.nextInt(routers))
                    .requestAdmission("a", "p", generationTokens, now)
                    .isAdmitted()) {
                sum += generationTokens;
            }
        }
        double budgetTokens = burst + rate * (now - start);
        double deviationTokens = Math.sqrt(budgetTokens / generationTokens) * generationTokens;
        assertTrue(
                sum <= budgetTokens + 5 * deviationTokens + generationTokens,
                sum + " tokens exceed " + budgetTokens + " with " + routers + " routers");
        assertTrue(
                sum >= 0.5 * Math.min(budgetTokens, 4000 * generationTokens) - 5 * deviationTokens,
                sum + " tokens of " + budgetTokens);
    }

    /**
     * Requests that are repeated more often admit no more tokens on average, since each draw uses
     * up what has accumulated.
     */
    @Property(tries = 20, seed = "20261201")
    void repeatedRequestsDoNotImproveTheOdds(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        double[] admittedTokens = new double[2];
        for (int run = 0; run < 2; run++) {
            for (int router = 0; router < 100; router++) {
                Budgets budgets =
                        new Budgets(
                                BudgetLimits.UNLIMITED,
                                100,
                                1,
                                500,
                                new Random(seed * 200 + router));
                double now = 1e12;
                budgets.configureTenant("a", null, new BudgetLimits(1, 2000, INF, INF), now);
                for (int i = 0; i < 2000; i++) {
                    now += 10;
                    if ((run == 0 || i % 20 == 0)
                            && budgets.requestAdmission("a", "p", 1000, now).isAdmitted()) {
                        admittedTokens[run] += 1000;
                    }
                }
            }
        }
        double deviationTokens = Math.sqrt(22_000.0 / 1000) * 1000;
        assertTrue(
                Math.abs(admittedTokens[0] - admittedTokens[1]) < 8 * deviationTokens,
                admittedTokens[0] + " and " + admittedTokens[1]);
    }
}
