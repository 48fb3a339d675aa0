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
public final class Budgets implements QuotaConfigurer {
    private final Random random;
    private final int fronts;
    private final double share;
    private final double giveBackMs;
    private final TenantBudget service;
    private final Map<String, TenantBudget> groups = new LinkedHashMap<>();
    private final Map<String, TenantBudget> tenants = new LinkedHashMap<>();
    private final Map<String, TenantBudget> products = new LinkedHashMap<>();

    /** All of them, by the names that the lender knows. */
    private final Map<String, TenantBudget> byName = new HashMap<>();

    private boolean lenderAnswers;

    /**
     * Budgets of one front.
     *
     * @param fronts how many fronts hold a part each
     * @param share the share of all rates that is in the fronts' fixed parts; the rest is lent, see
     *     {@link QuotaLender}
     * @param giveBackMs within which a tenant that wakes has its share again
     */
    public Budgets(QuotaGrant service, int fronts, double share, double giveBackMs, Random random) {
        this.random = random;
        this.share = share;
        this.fronts = fronts;
        this.giveBackMs = giveBackMs;
        this.service =
                new TenantBudget(
                        TenantBudget.SERVICE,
                        null,
                        service.partOf(fronts, share),
                        isAlone(),
                        random);
        byName.put(TenantBudget.SERVICE, this.service);
    }

    private boolean isAlone() {
        return fronts == 1 && share >= 1;
    }

    @Override
    public void configureService(QuotaGrant grant, double nowMs) {
        service.change(grant.partOf(fronts, share), nowMs);
    }

    @Override
    public void configureGroup(String name, QuotaGrant grant, double nowMs) {
        set(groups, name, TenantBudget.group(name), service, grant, nowMs);
    }

    @Override
    public void configureTenant(String name, String group, QuotaGrant grant, double nowMs) {
        TenantBudget above = group == null ? service : groups.get(group);
        if (above == null) {
            throw new IllegalArgumentException("tenant " + name + ": no group " + group);
        }
        set(tenants, name, TenantBudget.tenant(name), above, grant, nowMs);
    }

    @Override
    public void configureProduct(String tenant, String product, QuotaGrant grant, double nowMs) {
        set(
                products,
                tenant + '\n' + product,
                TenantBudget.product(tenant, product),
                tenants.get(tenant),
                grant,
                nowMs);
    }

    private void set(
            Map<String, TenantBudget> purses,
            String key,
            String name,
            TenantBudget above,
            QuotaGrant grant,
            double nowMs) {
        TenantBudget purse = purses.get(key);
        if (purse == null) {
            purse = new TenantBudget(name, above, grant.partOf(fronts, share), isAlone(), random);
            purses.put(key, purse);
            byName.putIfAbsent(name, purse);
        } else {
            purse.change(grant.partOf(fronts, share), nowMs);
        }
    }

    /**
     * What a tenant used this month by the ledger, told once at the start; a front takes its part
     * of it.
     */
    public void restoreMonthlyUsage(String tenant, String product, double used, double nowMs) {
        for (TenantBudget purse = purse(tenant, product); purse != null; purse = purse.above) {
            purse.remember(used / fronts, nowMs);
        }
    }

    /** What a generation is expected to take: its prompt and half of the most that it may write. */
    public static double estimate(int promptTokens, int maxTokens) {
        return promptTokens + 0.5 * maxTokens;
    }

    /**
     * Asks for a generation of so many tokens, prompt and expected answer; a tenant that is not
     * known is free.
     */
    public BudgetDecision requestAdmission(
            String tenant, String product, double tokens, double nowMs) {
        TenantBudget purse = purse(tenant, product);
        for (TenantBudget each = purse; each != null; each = each.above) {
            if (!each.hasMonthRoom(tokens, nowMs)) {
                double left = Math.max(0, each.grant().monthlyTokens() - each.monthUsed(nowMs));
                double wait = each.untilNextMonthMs(nowMs);
                return new BudgetDecision(
                        null,
                        each.grant().monthlyTokens(),
                        left,
                        wait,
                        wait,
                        each.name + ": month",
                        false);
            }
            if (!each.hasFlightRoom(tokens)) {
                double room = Math.max(0, each.grant().inFlightTokens() - each.inFlight());
                return new BudgetDecision(
                        null,
                        each.grant().inFlightTokens(),
                        room,
                        1000,
                        1000,
                        each.name + ": at once",
                        false);
            }
        }
        TenantBudget own = withRate(purse);
        TenantBudget payer = own == null ? purse : payer(purse, own, tokens, nowMs);
        if (own != null) {
            own.asked(tokens, nowMs);
        }
        if (payer == null) {
            double wait = own.bucket().untilMs(tokens, nowMs);
            // Guards against: a front's part of a burst may never hold one whole generation; then
            // only the
            // odds get better.
            return new BudgetDecision(
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
        for (TenantBudget each = payer.above; each != null; each = each.above) {
            if (each.grant().hasRate()) {
                each.bucket().owe(tokens, nowMs);
            }
        }
        for (TenantBudget each = purse; each != null; each = each.above) {
            each.fly(tokens);
        }
        Charge charge = new Charge(purse, tokens, payer, own != null && payer != own);
        return answerIn(own, charge, nowMs);
    }

    private BudgetDecision answerIn(TenantBudget own, Charge charge, double nowMs) {
        if (own == null) {
            return new BudgetDecision(
                    charge, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, 0, null, false);
        }
        return new BudgetDecision(
                charge,
                own.bucket().burst(),
                Math.max(0, own.bucket().level(nowMs)),
                own.bucket().untilMs(own.bucket().burst(), nowMs),
                0,
                null,
                false);
    }

    /** The lowest purse from here on up that limits a rate, or null. */
    private static TenantBudget withRate(TenantBudget from) {
        TenantBudget each = from;
        while (each != null && !each.grant().hasRate()) {
            each = each.above;
        }
        return each;
    }

    /**
     * The lowest purse that can pay: the asker's own means first, then what those above have to
     * spare.
     */
    private TenantBudget payer(TenantBudget purse, TenantBudget own, double tokens, double nowMs) {
        // Guards against: a tenant without a rate of its own would use up what its neighbours are
        // owed.
        if ((own == purse || owed(own, purse, nowMs) <= 0)
                && own.bucket().take(tokens, lenderAnswers, nowMs)) {
            return own;
        }
        if (own.takeLent(tokens, nowMs)) {
            return own;
        }
        for (TenantBudget lender = own == purse ? own.above : own;
                lender != null;
                lender = lender.above) {
            if (lender.grant().hasRate()
                    && lender.bucket().level(nowMs) - owed(lender, purse, nowMs) >= tokens) {
                lender.bucket().owe(tokens, nowMs);
                return lender;
            }
        }
        return null;
    }

    /** What those under a lender, but for the borrower, may come for within the give-back time. */
    private double owed(TenantBudget lender, TenantBudget borrower, double nowMs) {
        double owed = 0;
        for (TenantBudget each : lender.below) {
            if (each == borrower || isAbove(each, borrower) || !each.grant().hasRate()) {
                continue;
            }
            // Guards against: what a tenant has gathered may be asked for at once, in the very
            // moment in
            // which it wakes.
            owed +=
                    Math.max(0, each.bucket().level(nowMs))
                            + each.grant().tokensPerMs() * giveBackMs;
        }
        return owed;
    }

    private static boolean isAbove(TenantBudget purse, TenantBudget under) {
        for (TenantBudget each = under.above; each != null; each = each.above) {
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
    public QuotaRequest quotaRequestFor(
            String tenant, String product, double tokens, double nowMs) {
        TenantBudget own = withRate(purse(tenant, product));
        return own == null || share >= 1 ? null : own.want(tokens, nowMs);
    }

    /** Whether the lender answers; while it does not, fixed parts are given out by chance. */
    public void setLenderAvailable(boolean answers) {
        lenderAnswers = answers;
    }

    /**
     * So much was lent to a budget until then; one that is not known here any more leaves it
     * unused.
     */
    public void addLease(String purse, double tokens, double untilMs) {
        TenantBudget borrower = byName.get(purse);
        if (borrower != null && tokens > 0) {
            borrower.lend(tokens, untilMs);
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
        for (TenantBudget each = charge.payer.above; each != null; each = each.above) {
            if (each.grant().hasRate()) {
                each.bucket().giveBack(back, nowMs);
            }
        }
        for (TenantBudget each = charge.purse; each != null; each = each.above) {
            each.land(charge.estimate, used, nowMs);
        }
    }

    private TenantBudget purse(String tenant, String product) {
        TenantBudget purse = products.get(tenant + '\n' + product);
        return purse != null ? purse : tenants.getOrDefault(tenant, service);
    }
}
