package larchridge.budget;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One budget of the tree: the whole service, a group of tenants, a tenant, or a product of a
 * tenant.
 */
final class BudgetNode {
    /** The name of the whole service's budget. */
    static final String SERVICE = "service";

    final String name;

    /** The budget that this one is part of; null for that of the service. */
    final BudgetNode parent;

    final List<BudgetNode> children = new ArrayList<>();
    private BudgetLimits limits;
    private final TokenBucket bucket;
    private final TokenLeases leases = new TokenLeases();
    private final DemandEstimate demand = new DemandEstimate();
    private double inFlightTokens;
    private double monthUsedTokens;
    private YearMonth month;

    BudgetNode(
            String name,
            BudgetNode parent,
            BudgetLimits limits,
            TokenBucket.OversizeRule oversizeRule,
            Random random) {
        this.name = name;
        this.parent = parent;
        this.limits = limits;
        bucket = new TokenBucket(limits.tokensPerMs(), limits.burstTokens(), oversizeRule, random);
        if (parent != null) {
            parent.children.add(this);
        }
    }

    static String groupName(String group) {
        return "group " + group;
    }

    static String tenantName(String tenant) {
        return "tenant " + tenant;
    }

    static String productName(String tenant, String product) {
        return "tenant " + tenant + ", " + product;
    }

    BudgetLimits limits() {
        return limits;
    }

    void reconfigure(BudgetLimits newLimits, double nowMs) {
        limits = newLimits;
        bucket.reconfigure(newLimits.tokensPerMs(), newLimits.burstTokens(), nowMs);
    }

    TokenBucket bucket() {
        return bucket;
    }

    double inFlightTokens() {
        return inFlightTokens;
    }

    double monthUsedTokens(double nowMs) {
        rollOverMonth(nowMs);
        return monthUsedTokens;
    }

    boolean hasInFlightCapacity(double tokens) {
        // Guards against: a generation over the limit would never be admitted; it may run alone.
        return inFlightTokens <= 0 || inFlightTokens + tokens <= limits.inFlightTokens();
    }

    boolean hasMonthlyCapacity(double tokens, double nowMs) {
        rollOverMonth(nowMs);
        return monthUsedTokens + tokens <= limits.monthlyTokens();
    }

    double msUntilNextMonth(double nowMs) {
        rollOverMonth(nowMs);
        return month.plusMonths(1).atDay(1).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli()
                - nowMs;
    }

    /** Counts a generation that requested admission, whether it was admitted or not. */
    void recordDemand(double tokens, double nowMs) {
        demand.record(tokens, nowMs);
    }

    /** What would have to be leased to this budget so that a generation can be admitted. */
    QuotaRequest quotaRequestFor(double tokens, double nowMs) {
        double availableTokens = leases.tokens(nowMs) + Math.max(0, bucket.level(nowMs));
        // Extra tokens are requested only if the average demand per slot is at least this
        // generation's tokens. Guards against: many routers would each lease a small amount ahead
        // and let it expire, and none of them could use the budget.
        double desiredTokens = demand.tokensPerSlot() >= tokens ? demand.tokensPerSlot() : 0;
        return new QuotaRequest(name, Math.max(1, tokens - availableTokens), desiredTokens);
    }

    void addLease(double tokens, double expiresMs) {
        leases.add(tokens, expiresMs);
    }

    /**
     * Takes tokens from leases, the oldest first, and the rest from the bucket. Takes nothing if
     * there are no leases, or if both together do not suffice.
     */
    boolean tryTakeLeased(double tokens, double nowMs) {
        double leasedTokens = leases.tokens(nowMs);
        if (leasedTokens <= 0 || leasedTokens + Math.max(0, bucket.level(nowMs)) < tokens) {
            return false;
        }
        bucket.takeUnconditionally(leases.takeAndReturnMissing(tokens), nowMs);
        return true;
    }

    /** Counts a generation as in flight. */
    void startGeneration(double estimatedTokens) {
        inFlightTokens += estimatedTokens;
    }

    /** Counts a generation as ended, with what it used. */
    void endGeneration(double estimatedTokens, double usedTokens, double nowMs) {
        inFlightTokens = Math.max(0, inFlightTokens - estimatedTokens);
        addMonthlyUsage(usedTokens, nowMs);
    }

    void addMonthlyUsage(double usedTokens, double nowMs) {
        rollOverMonth(nowMs);
        monthUsedTokens += usedTokens;
    }

    private void rollOverMonth(double nowMs) {
        YearMonth currentMonth =
                YearMonth.from(Instant.ofEpochMilli((long) nowMs).atOffset(ZoneOffset.UTC));
        if (month == null || currentMonth.isAfter(month)) {
            month = currentMonth;
            monthUsedTokens = 0;
        }
    }
}
