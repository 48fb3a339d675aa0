package larchridge.budget;

/** What one admitted generation was charged; it is settled once. */
public final class Charge {
    /** The generation's own budget. */
    final BudgetNode requestedNode;

    /** The budget whose rate was charged: the own one, or one above it that had tokens to spare. */
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
