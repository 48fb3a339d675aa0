package larchridge.planner;

/** One batch as the planner sees it. */
public final class PlannedBatch {
    public final String name;
    final WeightedFairQueue.Tenant tenant;
    final double expiresMs;
    final long number;

    /** Lines that are not answered yet. */
    double unansweredLines;

    /** Lines of it, and their cost in tokens, that were handed out. */
    double startedLines;

    double startedTokens;
    boolean hasReadyLine;
    boolean atRisk;

    PlannedBatch(String name, WeightedFairQueue.Tenant tenant, double expiresMs, long number, double unansweredLines) {
        this.name = name;
        this.tenant = tenant;
        this.expiresMs = expiresMs;
        this.number = number;
        this.unansweredLines = unansweredLines;
    }

    /** Whether by the rate of late it will not be done in its window. */
    public boolean isAtRisk() {
        return atRisk;
    }
}
