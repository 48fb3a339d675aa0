package larchridge.planner;

/** The scheduling state of one batch. */
public final class PlannedBatch {
    /** The batch's id. */
    public final String name;

    final WeightedFairQueue.Tenant tenant;
    final double expiresMs;

    /** Orders batches that expire at the same time. */
    final long number;

    /** Lines that have no record yet. */
    double unansweredLines;

    /** Lines that were started, retries included. */
    double startedLines;

    /** The estimated tokens of the lines that were started. */
    double startedTokens;

    boolean hasReadyLine;
    boolean atRisk;

    PlannedBatch(
            String name,
            WeightedFairQueue.Tenant tenant,
            double expiresMs,
            long number,
            double unansweredLines) {
        this.name = name;
        this.tenant = tenant;
        this.expiresMs = expiresMs;
        this.number = number;
        this.unansweredLines = unansweredLines;
    }

    /** Whether the batch would miss its completion window at its tenant's recent rate. */
    public boolean isAtRisk() {
        return atRisk;
    }
}
