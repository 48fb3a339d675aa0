package larchridge.budget;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * The part of all budgets that follows demand: one keeper for the whole service lends tokens out of
 * it to fronts that ask. What is lent has left the keeper's bucket, so that an answer that is lost,
 * a front that dies or a question that comes twice can only leave some unused. A keeper that starts
 * anew begins with nothing, since what was lent before may still be out. Without I/O, clock or
 * threads; time is milliseconds and passed in.
 */
public final class QuotaLender implements QuotaConfigurer {
    /**
     * No generation has more; a question for more is a fault, and would leave a debt that nobody
     * pays off.
     */
    private static final double MOST_TOKS = 1e8;

    private final double share;
    private final Random unused = new Random(0);
    private final Map<String, TokenBucket> buckets = new LinkedHashMap<>();

    /** Lends this share of each budget; the rest is in the fronts' fixed parts. */
    public QuotaLender(double share) {
        this.share = share;
    }

    @Override
    public void configureService(QuotaGrant grant, double nowMs) {
        purse(TenantBudget.SERVICE, grant, nowMs);
    }

    @Override
    public void configureGroup(String name, QuotaGrant grant, double nowMs) {
        purse(TenantBudget.group(name), grant, nowMs);
    }

    @Override
    public void configureTenant(String name, String group, QuotaGrant grant, double nowMs) {
        purse(TenantBudget.tenant(name), grant, nowMs);
    }

    @Override
    public void configureProduct(String tenant, String product, QuotaGrant grant, double nowMs) {
        purse(TenantBudget.product(tenant, product), grant, nowMs);
    }

    /**
     * A budget by the name that fronts call it; setting it again changes it, and what has gathered
     * stays.
     */
    void purse(String name, QuotaGrant grant, double nowMs) {
        TokenBucket bucket = buckets.get(name);
        if (bucket != null) {
            bucket.change(grant.tokensPerMs() * share, grant.burstTokens() * share, nowMs);
        } else if (grant.hasRate()) {
            bucket =
                    new TokenBucket(
                            grant.tokensPerMs() * share, grant.burstTokens() * share, true, unused);
            // Guards against: a keeper that starts again and again would lend a whole burst each
            // time.
            bucket.owe(bucket.burst(), nowMs);
            buckets.put(name, bucket);
        }
    }

    /**
     * Lends what one generation lacks, all or nothing, and of what is wished beyond it at most half
     * of what is left, so that who comes next finds some. Tokens; 0 for a budget that is not known.
     */
    public double lend(String name, double need, double wish, double nowMs) {
        TokenBucket bucket = buckets.get(name);
        // Guards against: what is asked comes over a wire; no number that is not one may enter the
        // sums.
        if (bucket == null || !(need >= 0 && need <= MOST_TOKS) || !(wish >= 0)) {
            return 0;
        }
        if (need > 0 && !bucket.take(need, nowMs)) {
            return 0;
        }
        double extra = Math.max(0, Math.min(wish, bucket.level(nowMs) / 2));
        bucket.owe(extra, nowMs);
        return need + extra;
    }

    /**
     * How long until a budget could lend so much, if nobody else asked; milliseconds, 0 if it is
     * not known.
     */
    public double backInMs(String name, double need, double nowMs) {
        TokenBucket bucket = buckets.get(name);
        return bucket == null || !(need >= 0) ? 0 : bucket.untilMs(need, nowMs);
    }
}
