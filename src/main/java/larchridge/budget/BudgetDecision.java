package larchridge.budget;

/**
 * Whether a generation is admitted, with the figures that its client is given.
 *
 * @param charge what the generation was charged, or null if it is not admitted
 * @param limitTokens the limit that rejects it, or the nearest one
 * @param remainingTokens tokens left under that limit
 * @param resetMs milliseconds until the limit is fully available again
 * @param retryAfterMs milliseconds after which the generation would be admitted if no other came; 0
 *     if it was admitted
 * @param reason the budget and limit that reject it, for logs, or null
 * @param isRateLimited whether it is a rate that rejects it, so that a lease would help
 */
public record BudgetDecision(
        Charge charge,
        double limitTokens,
        double remainingTokens,
        double resetMs,
        double retryAfterMs,
        String reason,
        boolean isRateLimited) {
    /** This decision, with a retry advised after this time at the earliest. */
    public BudgetDecision withRetryAfterAtLeast(double minimumMs) {
        return minimumMs > retryAfterMs
                ? new BudgetDecision(
                        charge,
                        limitTokens,
                        remainingTokens,
                        resetMs,
                        minimumMs,
                        reason,
                        isRateLimited)
                : this;
    }

    /** Whether the generation is admitted. */
    public boolean isAdmitted() {
        return charge != null;
    }
}
