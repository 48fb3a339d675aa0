package larchridge.planner;

/** The scheduling state of one batch. */
public final class PlannedBatch {
    /** The batch's id. */
    public final String id;

    final WeightedFairQueue.Tenant tenant;
    final double expiresMs;

    /** Orders batches that expire at the same time. */
    final long sequenceNumber;

    /** Lines that have no record in the output or error file yet. */
    double unrecordedLines;

    /** Lines that were started, retries included. */
    double startedLines;

    /** The estimated tokens of the lines that were started. */
    double startedTokens;

    boolean hasReadyLine;
    boolean atRisk;

    PlannedBatch(
            String id,
            WeightedFairQueue.Tenant tenant,
            double expiresMs,
            long sequenceNumber,
            double unrecordedLines) {
        this.id = id;
        this.tenant = tenant;
        this.expiresMs = expiresMs;
        this.sequenceNumber = sequenceNumber;
        this.unrecordedLines = unrecordedLines;
    }

    /** Whether the batch would miss its completion window at its tenant's recent rate. */
    public boolean isAtRisk() {
        return atRisk;
    }
}
