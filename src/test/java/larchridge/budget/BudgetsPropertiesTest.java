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

    /** One router: in any window the sum is at most rate x window + burst + one generation. */
    @Property(tries = 200, seed = "20261201")
    void oneRouterNeverExceedsItsBound(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 10, max = 3000) int burst,
            @ForAll @IntRange(min = 1, max = 2000) int most) {
        Random random = new Random(seed);
        Budgets budgets = new Budgets(QuotaGrant.UNLIMITED, 1, 1, 500, new Random(seed));
        double now = 1e12;
        budgets.configureTenant("a", null, new QuotaGrant(0.5, burst, INF, INF), now);
        List<double[]> taken = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            now += random.nextDouble() * 40;
            double tokens = 1 + random.nextInt(most);
            if (budgets.requestAdmission("a", "p", tokens, now).isAdmitted()) {
                taken.add(new double[] {now, tokens});
            }
        }
        for (int i = 0; i < taken.size(); i++) {
            double sum = 0;
            for (int j = i; j < taken.size(); j++) {
                sum += taken.get(j)[1];
                double bound = 0.5 * (taken.get(j)[0] - taken.get(i)[0]) + burst + most;
                assertTrue(sum <= bound + 1e-6, sum + " over " + bound);
            }
        }
    }

    /**
     * Many routers whose parts of the burst are less than a generation: the sum over a long time
     * stays by its mean at the budget, within five deviations of the draws, whatever share of the
     * routers receives requests.
     */
    @Property(tries = 40, seed = "20261201")
    void routersTogetherKeepTheBudget(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 2, max = 170) int routers) {
        Random random = new Random(seed);
        double rate = 2;
        double burst = 4000;
        double generation = 1000;
        List<Budgets> all = new ArrayList<>();
        double now = 1e12;
        for (int i = 0; i < routers; i++) {
            Budgets one = new Budgets(QuotaGrant.UNLIMITED, routers, 1, 500, new Random(seed + i));
            one.configureTenant("a", null, new QuotaGrant(rate, burst, INF, INF), now);
            all.add(one);
        }
        double start = now;
        double sum = 0;
        for (int i = 0; i < 4000; i++) {
            now += 10;
            if (all.get(random.nextInt(routers))
                    .requestAdmission("a", "p", generation, now)
                    .isAdmitted()) {
                sum += generation;
            }
        }
        double budget = burst + rate * (now - start);
        double deviation = Math.sqrt(budget / generation) * generation;
        assertTrue(
                sum <= budget + 5 * deviation + generation,
                sum + " over " + budget + " with " + routers + " routers");
        assertTrue(
                sum >= 0.5 * Math.min(budget, 4000 * generation) - 5 * deviation,
                sum + " of " + budget);
    }

    /**
     * More frequent requests are admitted no more on average: the draws use up what has
     * accumulated.
     */
    @Property(tries = 20, seed = "20261201")
    void repeatedRequestsDoNotImproveTheOdds(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        double[] sums = new double[2];
        for (int way = 0; way < 2; way++) {
            for (int router = 0; router < 100; router++) {
                Budgets one =
                        new Budgets(
                                QuotaGrant.UNLIMITED, 100, 1, 500, new Random(seed * 200 + router));
                double now = 1e12;
                one.configureTenant("a", null, new QuotaGrant(1, 2000, INF, INF), now);
                for (int i = 0; i < 2000; i++) {
                    now += 10;
                    if ((way == 0 || i % 20 == 0)
                            && one.requestAdmission("a", "p", 1000, now).isAdmitted()) {
                        sums[way] += 1000;
                    }
                }
            }
        }
        double deviation = Math.sqrt(22_000.0 / 1000) * 1000;
        assertTrue(Math.abs(sums[0] - sums[1]) < 8 * deviation, sums[0] + " and " + sums[1]);
    }
}
