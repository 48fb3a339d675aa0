package larchridge.budget;

/**
 * Whether a generation may come in, with the figures that its client is told.
 *
 * @param charge what it took, or null if it may not come in
 * @param limit the budget that says no, or the nearest; in tokens
 * @param left tokens left of it
 * @param resetMs milliseconds until it is whole again
 * @param backInMs milliseconds after which it is let in, if alone; 0 if it was let in
 * @param why what says no, for logs, or null
 * @param lacksRate whether it is a rate that says no, so that a loan would help
 */
public record BudgetDecision(
        Charge charge,
        double limit,
        double left,
        double resetMs,
        double backInMs,
        String why,
        boolean lacksRate) {
    /** The same, but not to be tried again before so many milliseconds. */
    public BudgetDecision notBefore(double ms) {
        return ms > backInMs
                ? new BudgetDecision(charge, limit, left, resetMs, ms, why, lacksRate)
                : this;
    }

    public boolean isIn() {
        return charge != null;
    }
}
