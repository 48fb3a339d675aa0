package larchridge.budget;

/**
 * How much may be used: tokens a second with a burst, tokens at once in flight, tokens a month.
 * Infinity is no limit.
 *
 * @param tokensPerMs what comes in
 * @param burstTokens what may have gathered
 * @param inFlightTokens what may be in flight
 * @param monthlyTokens what may be used in a calendar month, UTC
 */
public record QuotaGrant(
        double tokensPerMs, double burstTokens, double inFlightTokens, double monthlyTokens) {
    public static final QuotaGrant UNLIMITED =
            new QuotaGrant(
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY);

    /**
     * One front's part where so many hold one each; of the rate, that share is in fixed parts and
     * the rest is lent.
     */
    public QuotaGrant partOf(int fronts, double share) {
        return new QuotaGrant(
                tokensPerMs * share / fronts,
                burstTokens * share / fronts,
                inFlightTokens / fronts,
                monthlyTokens / fronts);
    }

    public boolean hasRate() {
        return tokensPerMs < Double.POSITIVE_INFINITY;
    }
}
