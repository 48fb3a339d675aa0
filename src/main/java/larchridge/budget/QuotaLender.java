package larchridge.budget;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * Distributes the leased part of all budgets by demand: one lender for the whole service grants
 * leases of tokens to the routers that request them. Granted tokens are taken from the lender's
 * bucket, so that a lost response, a router crash or a repeated request can only leave tokens
 * unused. A lender starts with empty buckets, since leases from before a restart may still be in
 * use. Free of I/O, clocks and threads; time is passed in as milliseconds.
 */
public final class QuotaLender implements BudgetConfigurer {
    /**
     * More than any generation needs; a larger request is faulty and would leave a debt that is
     * never paid off.
     */
    private static final double MAX_NEEDED_TOKENS = 1e8;

    private final double leasedShare;

    /** Required by {@link TokenBucket}, but not used with {@code OversizeRule.DEBT}. */
    private final Random unusedRandom = new Random(0);

    private final Map<String, TokenBucket> buckets = new LinkedHashMap<>();

    /** A lender of this share of each budget; the rest is in the routers' fixed parts. */
    public QuotaLender(double leasedShare) {
        this.leasedShare = leasedShare;
    }

    @Override
    public void configureService(BudgetLimits limits, double nowMs) {
        configure(BudgetNode.SERVICE, limits, nowMs);
    }

    @Override
    public void configureGroup(String name, BudgetLimits limits, double nowMs) {
        configure(BudgetNode.groupName(name), limits, nowMs);
    }

    @Override
    public void configureTenant(String name, String group, BudgetLimits limits, double nowMs) {
        configure(BudgetNode.tenantName(name), limits, nowMs);
    }

    @Override
    public void configureProduct(String tenant, String product, BudgetLimits limits, double nowMs) {
        configure(BudgetNode.productName(tenant, product), limits, nowMs);
    }

    /** Configures a budget under the name that routers use in requests. */
    void configure(String budgetName, BudgetLimits limits, double nowMs) {
        double tokensPerMs = limits.tokensPerMs() * leasedShare;
        double burstTokens = limits.burstTokens() * leasedShare;
        TokenBucket bucket = buckets.get(budgetName);
        if (bucket != null) {
            bucket.reconfigure(tokensPerMs, burstTokens, nowMs);
        } else if (limits.hasRateLimit()) {
            bucket =
                    new TokenBucket(
                            tokensPerMs, burstTokens, TokenBucket.OversizeRule.DEBT, unusedRandom);
            // Guards against: a lender that restarts repeatedly would grant a full burst each time.
            bucket.takeUnconditionally(bucket.burstTokens(), nowMs);
            buckets.put(budgetName, bucket);
        }
    }

    /**
     * Grants the tokens that one generation lacks, completely or not at all. Of the tokens desired
     * beyond them it grants at most half of what is left, which leaves some for the next request.
     *
     * @return the granted tokens; 0 for an unknown budget
     */
    public double grant(
            String budgetName, double neededTokens, double desiredTokens, double nowMs) {
        TokenBucket bucket = buckets.get(budgetName);
        // Guards against: NaN in a request from the network would corrupt the bucket's level.
        if (bucket == null
                || !(neededTokens >= 0 && neededTokens <= MAX_NEEDED_TOKENS)
                || !(desiredTokens >= 0)) {
            return 0;
        }
        if (neededTokens > 0 && !bucket.tryTake(neededTokens, nowMs)) {
            return 0;
        }
        double extraTokens = Math.max(0, Math.min(desiredTokens, bucket.level(nowMs) / 2));
        bucket.takeUnconditionally(extraTokens, nowMs);
        return neededTokens + extraTokens;
    }

    /**
     * Milliseconds until a budget could grant these tokens if there were no other request; 0 for an
     * unknown budget.
     */
    public double retryAfterMs(String budgetName, double neededTokens, double nowMs) {
        TokenBucket bucket = buckets.get(budgetName);
        return bucket == null || !(neededTokens >= 0) ? 0 : bucket.msUntil(neededTokens, nowMs);
    }
}
