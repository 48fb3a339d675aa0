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
 * One tenant's budget held by many fronts in virtual time: fixed parts with a debt each, parts with
 * chance draws, and a fifth in parts with the rest lent. What comes in during the worst window
 * stands beside the bound of each way.
 */
class SharingSimulationTest {
    private static final double INF = Double.POSITIVE_INFINITY;
    private static final double RATE = 4;
    private static final double BURST = 8000;
    private static final double GEN = 1000;
    private static final double STEP_MS = 20;
    private static final double LAPSE_MS = 1000;
    private static final double WINDOW_MS = 5000;
    private static final double LENGTH_MS = 60_000;
    private static final double FIXED = 0.2;
    private static final StringBuilder TABLE = new StringBuilder();

    private enum Way {
        DEBTS,
        DRAWS,
        LEASES
    }

    /**
     * What came of a run: tokens let in a millisecond of budget, and the worst window's excess over
     * rate x window.
     */
    private record Gain(double used, double excess) {}

    private final Random random = new Random(42);

    /**
     * Busy: how many of the fronts are asked, each turn by chance; each asking for one generation.
     * Restarts: every so often a front forgets all, and the lender as well, the lender is away for
     * a fifth of the time and some of its answers are lost.
     */
    private Gain run(Way way, int fronts, int busy, double gensPerMs, boolean troubled) {
        List<Budgets> all = new ArrayList<>();
        for (int i = 0; i < fronts; i++) {
            all.add(front(way, fronts, i, 0));
        }
        QuotaLender lender = lender(0);
        Deque<double[]> window = new ArrayDeque<>();
        double inWindow = 0;
        double worst = 0;
        double sum = 0;
        for (double now = 0; now < LENGTH_MS; now += STEP_MS) {
            if (troubled && random.nextDouble() < STEP_MS / 5000) {
                all.set(random.nextInt(fronts), front(way, fronts, 1000 + (int) now, now));
            }
            if (troubled && random.nextDouble() < STEP_MS / 10_000) {
                lender = lender(now);
            }
            double due = gensPerMs * STEP_MS;
            int comes = (int) due + (random.nextDouble() < due - (int) due ? 1 : 0);
            for (int i = 0; i < comes; i++) {
                if (isIn(
                        all.get(random.nextInt(busy)),
                        way == Way.LEASES ? lender : null,
                        troubled,
                        now)) {
                    window.add(new double[] {now, GEN});
                    inWindow += GEN;
                    sum += GEN;
                }
            }
            while (!window.isEmpty() && window.peek()[0] <= now - WINDOW_MS) {
                inWindow -= window.poll()[1];
            }
            worst = Math.max(worst, inWindow - RATE * WINDOW_MS);
        }
        return new Gain(sum / (RATE * LENGTH_MS), worst);
    }

    /** As a front does it: what it lacks it asks of the lender. */
    private boolean isIn(Budgets front, QuotaLender lender, boolean troubled, double now) {
        if (front.requestAdmission("a", "p", GEN, now).isAdmitted()) {
            return true;
        }
        // Now and then the lender is away for a while: the first fifth of each quarter of a minute.
        boolean away = troubled && now % 15_000 < 3000;
        front.setLenderAvailable(lender != null && !away);
        if (lender == null || away) {
            return false;
        }
        QuotaRequest want = front.quotaRequestFor("a", "p", GEN, now);
        double lent = lender.lend(want.budget(), want.neededTokens(), want.desiredTokens(), now);
        // One answer in twenty is lost: what was lent then is used by nobody.
        front.addLease(
                want.budget(), troubled && random.nextDouble() < 0.05 ? 0 : lent, now + LAPSE_MS);
        return front.requestAdmission("a", "p", GEN, now).isAdmitted();
    }

    private static Budgets front(Way way, int fronts, int seed, double nowMs) {
        // A debt each is what a front does that believes to be alone with its part.
        boolean debts = way == Way.DEBTS;
        Budgets one =
                new Budgets(
                        QuotaGrant.UNLIMITED,
                        debts ? 1 : fronts,
                        way == Way.LEASES ? FIXED : 1,
                        500,
                        new Random(seed));
        double part = debts ? 1.0 / fronts : 1;
        one.configureTenant("a", null, new QuotaGrant(RATE * part, BURST * part, INF, INF), nowMs);
        return one;
    }

    private static QuotaLender lender(double nowMs) {
        QuotaLender lender = new QuotaLender(1 - FIXED);
        lender.purse("tenant a", new QuotaGrant(RATE, BURST, INF, INF), nowMs);
        return lender;
    }

    /** Over rate x window; the leases' derivation stands in docs/budgets.md. */
    private static double bound(Way way, int fronts) {
        double inWindow = RATE * WINDOW_MS + BURST;
        if (fronts == 1 && way != Way.LEASES) {
            return BURST + GEN;
        }
        double draws = 5 * Math.sqrt(inWindow * GEN);
        return switch (way) {
            case DEBTS -> BURST + fronts * GEN;
            case DRAWS -> BURST + draws;
            case LEASES -> BURST + (1 - FIXED) * RATE * LAPSE_MS + GEN + draws * Math.sqrt(FIXED);
        };
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 60, 170})
    void sumStaysUnderItsBound(int fronts) {
        for (Way way : Way.values()) {
            Gain storm = run(way, fronts, fronts, 0.05, false);
            Gain one = run(way, fronts, 1, 0.05, false);
            Gain modest = run(way, fronts, fronts, 0.8 * RATE / GEN, false);
            TABLE.append(
                    String.format(
                            Locale.ROOT,
                            "%d fronts, %s: storm used %.2f worst excess %.0f bound %.0f; "
                                    + "one busy front used %.2f; asked for 0.8 used %.2f%n",
                            fronts,
                            way,
                            storm.used,
                            storm.excess,
                            bound(way, fronts),
                            one.used,
                            modest.used));
            assertTrue(
                    storm.excess <= bound(way, fronts), fronts + " " + way + ": " + storm.excess);
            assertTrue(one.excess <= bound(way, fronts), fronts + " " + way + ": " + one.excess);
            if (way == Way.LEASES) {
                assertTrue(one.used > 0.75, "one busy front of " + fronts + " uses " + one.used);
                assertTrue(storm.used > 0.75, "a storm at " + fronts + " uses " + storm.used);
                assertTrue(
                        modest.used > 0.65,
                        "of 0.8 asked at " + fronts + " " + modest.used + " came in");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 170})
    void restartsLossesAndAnAbsentLenderGiveNothingAwayButParts(int fronts) {
        Gain gain = run(Way.LEASES, fronts, fronts, 0.05, true);
        // A front that restarts has its part of the burst anew: at most so many in a window, far
        // from all.
        double anew = 6 * FIXED * BURST / fronts + GEN;
        TABLE.append(
                String.format(
                        Locale.ROOT,
                        "%d fronts, LEASES in trouble: used %.2f worst excess %.0f bound "
                                + "%.0f%n",
                        fronts,
                        gain.used,
                        gain.excess,
                        bound(Way.LEASES, fronts) + anew));
        assertTrue(gain.excess <= bound(Way.LEASES, fronts) + anew, "excess " + gain.excess);
    }

    @AfterAll
    static void print() {
        System.out.print(TABLE);
    }
}
