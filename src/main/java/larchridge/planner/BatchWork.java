package larchridge.planner;

/** One batch as the planner sees it. */
public final class BatchWork {
    public final String name;
    final BatchQuotas.Tenant tenant;
    final double expiresMs;
    final long number;

    /** Lines that are not answered yet. */
    double left;

    /** Lines of it, and their cost in tokens, that were handed out. */
    double handed;

    double handedTokens;
    boolean ready;
    boolean atRisk;

    BatchWork(String name, BatchQuotas.Tenant tenant, double expiresMs, long number, double left) {
        this.name = name;
        this.tenant = tenant;
        this.expiresMs = expiresMs;
        this.number = number;
        this.left = left;
    }

    /** Whether by the rate of late it will not be done in its window. */
    public boolean isAtRisk() {
        return atRisk;
    }
}
