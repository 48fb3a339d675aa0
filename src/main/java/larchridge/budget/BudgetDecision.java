package larchridge.budget;

/**
 * Whether a generation is admitted, with the figures that its client is given.
 *
 * @param charge what the generation was charged, or null if it is not admitted
 * @param limitTokens the limit that rejects it; if it is admitted, the burst of the first budget
 *     with a rate limit from the product upwards, or infinity if there is none
 * @param remainingTokens tokens left under that limit
 * @param resetMs milliseconds until the limit is fully available again; a fixed delay at the
 *     in-flight limit, since when a generation will end is not known
 * @param retryAfterMs the advised retry delay in milliseconds; 0 if it is admitted. A monthly
 *     limit, or a rate limit whose bucket can hold the tokens, allows the generation after this
 *     time if no other takes tokens meanwhile
 * @param reason the budget and limit that reject it, for logs, or null
 * @param isRateLimited whether it is a rate limit that rejects it, so that a lease would help
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
