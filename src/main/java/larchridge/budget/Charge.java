package larchridge.budget;

/** What one generation that was let in has taken; settled once. */
public final class Charge {
    final TenantBudget purse;
    final double estimate;

    /** The purse from which the rate was paid. */
    final TenantBudget payer;

    private final boolean borrowed;
    boolean settled;

    Charge(TenantBudget purse, double estimate, TenantBudget payer, boolean borrowed) {
        this.purse = purse;
        this.estimate = estimate;
        this.payer = payer;
        this.borrowed = borrowed;
    }

    /** Whether it was let in beyond its tenant's own means. */
    public boolean isBorrowed() {
        return borrowed;
    }
}
