package larchridge.budget;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * Who may use how much: a tree of budgets (service, groups, tenants, their products), one front's
 * part of it. A generation is charged its estimate when it comes in and settled to what it used
 * when it ends. A tenant out of its own means borrows what its group, or the service, has to spare:
 * all but what the others there are owed within the give-back time. Without I/O, clock or threads;
 * time is milliseconds of Unix time and passed in.
 */
public final class Budgets implements Grants {
    private final Random random;
    private final int fronts;
    private final double share;
    private final double giveBackMs;
    private final Purse service;
    private final Map<String, Purse> groups = new LinkedHashMap<>();
    private final Map<String, Purse> tenants = new LinkedHashMap<>();
    private final Map<String, Purse> products = new LinkedHashMap<>();

    /** All of them, by the names that the lender knows. */
    private final Map<String, Purse> byName = new HashMap<>();

    private boolean lenderAnswers;

    /**
     * Budgets of one front.
     *
     * @param fronts how many fronts hold a part each
     * @param share the share of all rates that is in the fronts' fixed parts; the rest is lent, see
     *     {@link Lender}
     * @param giveBackMs within which a tenant that wakes has its share again
     */
    public Budgets(Grant service, int fronts, double share, double giveBackMs, Random random) {
        this.random = random;
        this.share = share;
        this.fronts = fronts;
        this.giveBackMs = giveBackMs;
        this.service =
                new Purse(Purse.SERVICE, null, service.part(fronts, share), isAlone(), random);
        byName.put(Purse.SERVICE, this.service);
    }

    private boolean isAlone() {
        return fronts == 1 && share >= 1;
    }

    @Override
    public void service(Grant grant, double nowMs) {
        service.change(grant.part(fronts, share), nowMs);
    }

    @Override
    public void group(String name, Grant grant, double nowMs) {
        set(groups, name, Purse.group(name), service, grant, nowMs);
    }

    @Override
    public void tenant(String name, String group, Grant grant, double nowMs) {
        Purse above = group == null ? service : groups.get(group);
        if (above == null) {
            throw new IllegalArgumentException("tenant " + name + ": no group " + group);
        }
        set(tenants, name, Purse.tenant(name), above, grant, nowMs);
    }

    @Override
    public void product(String tenant, String product, Grant grant, double nowMs) {
        set(
                products,
                tenant + '\n' + product,
                Purse.product(tenant, product),
                tenants.get(tenant),
                grant,
                nowMs);
    }

    private void set(
            Map<String, Purse> purses,
            String key,
            String name,
            Purse above,
            Grant grant,
            double nowMs) {
        Purse purse = purses.get(key);
        if (purse == null) {
            purse = new Purse(name, above, grant.part(fronts, share), isAlone(), random);
            purses.put(key, purse);
            byName.putIfAbsent(name, purse);
        } else {
            purse.change(grant.part(fronts, share), nowMs);
        }
    }

    /**
     * What a tenant used this month by the ledger, told once at the start; a front takes its part
     * of it.
     */
    public void remember(String tenant, String product, double used, double nowMs) {
        for (Purse purse = purse(tenant, product); purse != null; purse = purse.above) {
            purse.remember(used / fronts, nowMs);
        }
    }

    /** What a generation is expected to take: its prompt and half of the most that it may write. */
    public static double estimate(int promptToks, int maxToks) {
        return promptToks + 0.5 * maxToks;
    }

    /**
     * Asks for a generation of so many tokens, prompt and expected answer; a tenant that is not
     * known is free.
     */
    public Answer ask(String tenant, String product, double toks, double nowMs) {
        Purse purse = purse(tenant, product);
        for (Purse each = purse; each != null; each = each.above) {
            if (!each.hasMonthRoom(toks, nowMs)) {
                double left = Math.max(0, each.grant().monthToks() - each.monthUsed(nowMs));
                double wait = each.untilNextMonthMs(nowMs);
                return new Answer(
                        null,
                        each.grant().monthToks(),
                        left,
                        wait,
                        wait,
                        each.name + ": month",
                        false);
            }
            if (!each.hasFlightRoom(toks)) {
                double room = Math.max(0, each.grant().atOnceToks() - each.inFlight());
                return new Answer(
                        null,
                        each.grant().atOnceToks(),
                        room,
                        1000,
                        1000,
                        each.name + ": at once",
                        false);
            }
        }
        Purse own = withRate(purse);
        Purse payer = own == null ? purse : payer(purse, own, toks, nowMs);
        if (own != null) {
            own.asked(toks, nowMs);
        }
        if (payer == null) {
            double wait = own.bucket().untilMs(toks, nowMs);
            // Danger: a front's part of a burst may never hold one whole generation; then only the
            // odds get better.
            return new Answer(
                    null,
                    own.bucket().burst(),
                    Math.max(0, own.bucket().level(nowMs)),
                    own.bucket().untilMs(own.bucket().burst(), nowMs),
                    Math.max(1, wait),
                    own.name + ": rate",
                    true);
        }
        // Those over the payer are charged too, as theirs is used; those under it keep what they
        // have.
        for (Purse each = payer.above; each != null; each = each.above) {
            if (each.grant().hasRate()) {
                each.bucket().owe(toks, nowMs);
            }
        }
        for (Purse each = purse; each != null; each = each.above) {
            each.fly(toks);
        }
        Charge charge = new Charge(purse, toks, payer, own != null && payer != own);
        return answerIn(own, charge, nowMs);
    }

    private Answer answerIn(Purse own, Charge charge, double nowMs) {
        if (own == null) {
            return new Answer(
                    charge, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, 0, null, false);
        }
        return new Answer(
                charge,
                own.bucket().burst(),
                Math.max(0, own.bucket().level(nowMs)),
                own.bucket().untilMs(own.bucket().burst(), nowMs),
                0,
                null,
                false);
    }

    /** The lowest purse from here on up that limits a rate, or null. */
    private static Purse withRate(Purse from) {
        Purse each = from;
        while (each != null && !each.grant().hasRate()) {
            each = each.above;
        }
        return each;
    }

    /**
     * The lowest purse that can pay: the asker's own means first, then what those above have to
     * spare.
     */
    private Purse payer(Purse purse, Purse own, double toks, double nowMs) {
        // Danger: a tenant without a rate of its own would use up what its neighbours are owed.
        if ((own == purse || owed(own, purse, nowMs) <= 0)
                && own.bucket().take(toks, lenderAnswers, nowMs)) {
            return own;
        }
        if (own.takeLent(toks, nowMs)) {
            return own;
        }
        for (Purse lender = own == purse ? own.above : own; lender != null; lender = lender.above) {
            if (lender.grant().hasRate()
                    && lender.bucket().level(nowMs) - owed(lender, purse, nowMs) >= toks) {
                lender.bucket().owe(toks, nowMs);
                return lender;
            }
        }
        return null;
    }

    /** What those under a lender, but for the borrower, may come for within the give-back time. */
    private double owed(Purse lender, Purse borrower, double nowMs) {
        double owed = 0;
        for (Purse each : lender.below) {
            if (each == borrower || isAbove(each, borrower) || !each.grant().hasRate()) {
                continue;
            }
            // Danger: what a tenant has gathered may be asked for at once, in the very moment in
            // which it wakes.
            owed += Math.max(0, each.bucket().level(nowMs)) + each.grant().toksPerMs() * giveBackMs;
        }
        return owed;
    }

    private static boolean isAbove(Purse purse, Purse under) {
        for (Purse each = under.above; each != null; each = each.above) {
            if (each == purse) {
                return true;
            }
        }
        return false;
    }

    /**
     * What would have to be lent for a generation that was turned away for want of rate; null if
     * nothing would help.
     */
    public Want want(String tenant, String product, double toks, double nowMs) {
        Purse own = withRate(purse(tenant, product));
        return own == null || share >= 1 ? null : own.want(toks, nowMs);
    }

    /** Whether the lender answers; while it does not, fixed parts are given out by chance. */
    public void lender(boolean answers) {
        lenderAnswers = answers;
    }

    /**
     * So much was lent to a budget until then; one that is not known here any more leaves it
     * unused.
     */
    public void lent(String purse, double toks, double untilMs) {
        Purse borrower = byName.get(purse);
        if (borrower != null && toks > 0) {
            borrower.lend(toks, untilMs);
        }
    }

    /** Settles a charge to what was used; a second time does nothing. */
    public void settle(Charge charge, double used, double nowMs) {
        if (charge.settled) {
            return;
        }
        charge.settled = true;
        double back = charge.estimate - used;
        if (charge.payer.grant().hasRate()) {
            charge.payer.bucket().giveBack(back, nowMs);
        }
        for (Purse each = charge.payer.above; each != null; each = each.above) {
            if (each.grant().hasRate()) {
                each.bucket().giveBack(back, nowMs);
            }
        }
        for (Purse each = charge.purse; each != null; each = each.above) {
            each.land(charge.estimate, used, nowMs);
        }
    }

    private Purse purse(String tenant, String product) {
        Purse purse = products.get(tenant + '\n' + product);
        return purse != null ? purse : tenants.getOrDefault(tenant, service);
    }
}
