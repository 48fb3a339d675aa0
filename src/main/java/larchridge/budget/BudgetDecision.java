package larchridge.budget;

/**
 * Whether a generation may come in, with the figures that its client is told.
 *
 * @param charge what it took, or null if it may not come in
 * @param limitTokens the budget that says no, or the nearest; in tokens
 * @param remainingTokens tokens left of it
 * @param resetMs milliseconds until it is whole again
 * @param retryAfterMs milliseconds after which it is let in, if alone; 0 if it was let in
 * @param reason what says no, for logs, or null
 * @param isRateLimited whether it is a rate that says no, so that a loan would help
 */
public record BudgetDecision(
        Charge charge,
        double limitTokens,
        double remainingTokens,
        double resetMs,
        double retryAfterMs,
        String reason,
        boolean isRateLimited) {
    /** The same, but not to be tried again before so many milliseconds. */
    public BudgetDecision withRetryAfterAtLeast(double ms) {
        return ms > retryAfterMs
                ? new BudgetDecision(
                        charge, limitTokens, remainingTokens, resetMs, ms, reason, isRateLimited)
                : this;
    }

    public boolean isAdmitted() {
        return charge != null;
    }
}
