package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates one tenant's budget shared by many routers, in virtual time and in three ways: fixed
 * parts that admit on debt, fixed parts with random draws, and one fifth in fixed parts with the
 * rest leased. The tokens admitted in the worst window must stay within the bound of each.
 */
class SharingSimulationTest {
    private static final double INF = Double.POSITIVE_INFINITY;
    private static final double RATE = 4;
    private static final double BURST = 8000;
    private static final double GENERATION_TOKENS = 1000;
    private static final double STEP_MS = 20;
    private static final double LEASE_MS = 1000;
    private static final double WINDOW_MS = 5000;
    private static final double DURATION_MS = 60_000;
    private static final double FIXED_SHARE = 0.2;
    private static final StringBuilder RESULTS = new StringBuilder();

    private enum Sharing {
        DEBTS,
        DRAWS,
        LEASES
    }

    /**
     * The result of a run.
     *
     * @param usedShare tokens admitted, as a share of the budget's rate over the run
     * @param excessTokens tokens admitted in the worst window, beyond rate x window
     */
    private record Result(double usedShare, double excessTokens) {}

    private final Random random = new Random(42);

    /**
     * Simulates one minute.
     *
     * @param loadedRouters how many of the routers receive requests; each request is for one
     *     generation, at a random one of them
     * @param withFaults whether routers and the lender restart without their state from time to
     *     time, the lender is down for a fifth of the time and some of its responses are lost
     */
    private Result run(
            Sharing sharing,
            int routers,
            int loadedRouters,
            double generationsPerMs,
            boolean withFaults) {
        List<Budgets> routerBudgets = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            routerBudgets.add(router(sharing, routers, i, 0));
        }
        QuotaLender lender = lender(0);
        Deque<double[]> window = new ArrayDeque<>();
        double windowTokens = 0;
        double worstExcess = 0;
        double admittedTokens = 0;
        for (double now = 0; now < DURATION_MS; now += STEP_MS) {
            if (withFaults && random.nextDouble() < STEP_MS / 5000) {
                routerBudgets.set(
                        random.nextInt(routers), router(sharing, routers, 1000 + (int) now, now));
            }
            if (withFaults && random.nextDouble() < STEP_MS / 10_000) {
                lender = lender(now);
            }
            double expected = generationsPerMs * STEP_MS;
            int arrivals =
                    (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < arrivals; i++) {
                if (isAdmitted(
                        routerBudgets.get(random.nextInt(loadedRouters)),
                        sharing == Sharing.LEASES ? lender : null,
                        withFaults,
                        now)) {
                    window.add(new double[] {now, GENERATION_TOKENS});
                    windowTokens += GENERATION_TOKENS;
                    admittedTokens += GENERATION_TOKENS;
                }
            }
            while (!window.isEmpty() && window.peek()[0] <= now - WINDOW_MS) {
                windowTokens -= window.poll()[1];
            }
            worstExcess = Math.max(worstExcess, windowTokens - RATE * WINDOW_MS);
        }
        return new Result(admittedTokens / (RATE * DURATION_MS), worstExcess);
    }

    /** Requests admission as a router does, with a lease from the lender if tokens are missing. */
    private boolean isAdmitted(
            Budgets budgets, QuotaLender lender, boolean withFaults, double now) {
        if (budgets.requestAdmission("a", "p", GENERATION_TOKENS, now).isAdmitted()) {
            return true;
        }
        // With faults the lender is down for the first fifth of each quarter of a minute.
        boolean isLenderDown = withFaults && now % 15_000 < 3000;
        budgets.setLenderAvailable(lender != null && !isLenderDown);
        if (lender == null || isLenderDown) {
            return false;
        }
        QuotaRequest request = budgets.quotaRequestFor("a", "p", GENERATION_TOKENS, now);
        double granted =
                lender.grant(
                        request.budgetName(), request.neededTokens(), request.desiredTokens(), now);
        // With faults one response in twenty is lost; its tokens stay unused.
        budgets.addLease(
                request.budgetName(),
                withFaults && random.nextDouble() < 0.05 ? 0 : granted,
                now + LEASE_MS);
        return budgets.requestAdmission("a", "p", GENERATION_TOKENS, now).isAdmitted();
    }

    private static Budgets router(Sharing sharing, int routers, int seed, double nowMs) {
        // A router whose part is configured as a whole budget admits on debt.
        boolean admitsOnDebt = sharing == Sharing.DEBTS;
        Budgets budgets =
                new Budgets(
                        BudgetLimits.UNLIMITED,
                        admitsOnDebt ? 1 : routers,
                        sharing == Sharing.LEASES ? FIXED_SHARE : 1,
                        500,
                        new Random(seed));
        double partOfBudget = admitsOnDebt ? 1.0 / routers : 1;
        budgets.configureTenant(
                "a",
                null,
                new BudgetLimits(RATE * partOfBudget, BURST * partOfBudget, INF, INF),
                nowMs);
        return budgets;
    }

    private static QuotaLender lender(double nowMs) {
        QuotaLender lender = new QuotaLender(1 - FIXED_SHARE);
        lender.configure("tenant a", new BudgetLimits(RATE, BURST, INF, INF), nowMs);
        return lender;
    }

    /** The bound on the excess; docs/budgets.md derives that of leases. */
    private static double bound(Sharing sharing, int routers) {
        double windowTokens = RATE * WINDOW_MS + BURST;
        if (routers == 1 && sharing != Sharing.LEASES) {
            return BURST + GENERATION_TOKENS;
        }
        double drawAllowance = 5 * Math.sqrt(windowTokens * GENERATION_TOKENS);
        return switch (sharing) {
            case DEBTS -> BURST + routers * GENERATION_TOKENS;
            case DRAWS -> BURST + drawAllowance;
            case LEASES ->
                    BURST
                            + (1 - FIXED_SHARE) * RATE * LEASE_MS
                            + GENERATION_TOKENS
                            + drawAllowance * Math.sqrt(FIXED_SHARE);
        };
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 60, 170})
    void admittedTokensStayUnderTheirBound(int routers) {
        for (Sharing sharing : Sharing.values()) {
            Result overload = run(sharing, routers, routers, 0.05, false);
            Result oneLoaded = run(sharing, routers, 1, 0.05, false);
            Result moderateLoad =
                    run(sharing, routers, routers, 0.8 * RATE / GENERATION_TOKENS, false);
            RESULTS.append(
                    String.format(
                            Locale.ROOT,
                            "%d routers, %s: overload used %.2f worst excess %.0f bound %.0f; "
                                    + "one loaded router used %.2f; demand of 0.8 used %.2f%n",
                            routers,
                            sharing,
                            overload.usedShare,
                            overload.excessTokens,
                            bound(sharing, routers),
                            oneLoaded.usedShare,
                            moderateLoad.usedShare));
            assertTrue(
                    overload.excessTokens <= bound(sharing, routers),
                    routers + " " + sharing + ": " + overload.excessTokens);
            assertTrue(
                    oneLoaded.excessTokens <= bound(sharing, routers),
                    routers + " " + sharing + ": " + oneLoaded.excessTokens);
            if (sharing == Sharing.LEASES) {
                assertTrue(
                        oneLoaded.usedShare > 0.75,
                        "one loaded router of " + routers + " used " + oneLoaded.usedShare);
                assertTrue(
                        overload.usedShare > 0.75,
                        "an overload of " + routers + " routers used " + overload.usedShare);
                assertTrue(
                        moderateLoad.usedShare > 0.65,
                        "a demand of 0.8 at "
                                + routers
                                + " routers used "
                                + moderateLoad.usedShare);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 170})
    void restartsLostAnswersAndALenderOutageAdmitNoMoreThanFixedParts(int routers) {
        Result result = run(Sharing.LEASES, routers, routers, 0.05, true);
        // A router that restarts has its part of the burst again; the bound allows for six restarts
        // in a window.
        double restartedBursts = 6 * FIXED_SHARE * BURST / routers + GENERATION_TOKENS;
        RESULTS.append(
                String.format(
                        Locale.ROOT,
                        "%d routers, LEASES with faults: used %.2f worst excess %.0f bound "
                                + "%.0f%n",
                        routers,
                        result.usedShare,
                        result.excessTokens,
                        bound(Sharing.LEASES, routers) + restartedBursts));
        assertTrue(
                result.excessTokens <= bound(Sharing.LEASES, routers) + restartedBursts,
                "excess " + result.excessTokens);
    }

    @AfterAll
    static void printResults() {
        System.out.print(RESULTS);
    }
}
