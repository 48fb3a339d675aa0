package larchridge.budget;

/**
 * The limits of a budget: a token rate with a burst, tokens in flight, and tokens per month.
 * Infinity means no limit.
 *
 * @param tokensPerMs the rate at which tokens accumulate
 * @param burstTokens the most tokens that accumulate
 * @param inFlightTokens the most tokens that may be in flight
 * @param monthlyTokens the most tokens that may be used in a calendar month, UTC
 */
public record BudgetLimits(
        double tokensPerMs, double burstTokens, double inFlightTokens, double monthlyTokens) {
    /** No limit of any kind. */
    public static final BudgetLimits UNLIMITED =
            new BudgetLimits(
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY);

    /**
     * One router's part of these limits.
     *
     * @param routers how many routers hold a part each
     * @param fixedShare the share of the rate that is divided into fixed parts; the rest is leased
     */
    public BudgetLimits partOf(int routers, double fixedShare) {
        return new BudgetLimits(
                tokensPerMs * fixedShare / routers,
                burstTokens * fixedShare / routers,
                inFlightTokens / routers,
                monthlyTokens / routers);
    }

    /** Whether the rate is limited. */
    public boolean hasRateLimit() {
        return tokensPerMs < Double.POSITIVE_INFINITY;
    }
}
