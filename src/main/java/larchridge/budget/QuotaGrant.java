package larchridge.budget;

/**
 * How much may be used: tokens a second with a burst, tokens at once in flight, tokens a month.
 * Infinity is no limit.
 *
 * @param toksPerMs what comes in
 * @param burstToks what may have gathered
 * @param atOnceToks what may be in flight
 * @param monthToks what may be used in a calendar month, UTC
 */
public record QuotaGrant(double toksPerMs, double burstToks, double atOnceToks, double monthToks) {
    public static final QuotaGrant NONE =
            new QuotaGrant(
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY);

    /**
     * One front's part where so many hold one each; of the rate, that share is in fixed parts and
     * the rest is lent.
     */
    public QuotaGrant part(int fronts, double share) {
        return new QuotaGrant(
                toksPerMs * share / fronts,
                burstToks * share / fronts,
                atOnceToks / fronts,
                monthToks / fronts);
    }

    public boolean hasRate() {
        return toksPerMs < Double.POSITIVE_INFINITY;
    }
}
