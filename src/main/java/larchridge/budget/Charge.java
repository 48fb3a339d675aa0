package larchridge.budget;

/** What one admitted generation was charged; it is settled once. */
public final class Charge {
    /** The generation's own budget. */
    final BudgetNode requestedNode;

    /**
     * The budget from whose bucket or leases the tokens were taken: the generation's own, or one
     * above it. If none of them has a rate limit, nothing is taken and this is the generation's
     * own.
     */
    final BudgetNode chargedNode;

    final double estimatedTokens;
    private final boolean borrowed;
    private boolean settled;

    Charge(
            BudgetNode requestedNode,
            double estimatedTokens,
            BudgetNode chargedNode,
            boolean borrowed) {
        this.requestedNode = requestedNode;
        this.estimatedTokens = estimatedTokens;
        this.chargedNode = chargedNode;
        this.borrowed = borrowed;
    }

    /** Whether the generation was admitted beyond its tenant's own rate. */
    public boolean isBorrowed() {
        return borrowed;
    }

    /** Marks the charge settled; false if it was already. */
    boolean markSettled() {
        boolean first = !settled;
        settled = true;
        return first;
    }
}
