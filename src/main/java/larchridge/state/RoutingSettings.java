package larchridge.state;

/**
 * What a front is told when it starts: what is owed to whom, and what is allowed. Times are
 * milliseconds.
 */
public final class RoutingSettings {
    public long seed;
    public int routers;
    public String zone;
    public int maxAttempts;
    public boolean cancellationAllowed;
    public boolean probesAllowed;
    public boolean hedgingAllowed;
    public boolean writersCanRead;
    public boolean endpointListPolled;
    public boolean reportsWithAnswers;
    public boolean reportsWithProbes;

    /** The longest advice to stay away that a client honours; 0 where there is none. */
    public double retryAfterMaxMs;

    public double slowStartShare;
    public double slowStartMs;
    public double overloadMultiple;
    public double overloadMs;
    public double overQuotaRevenue;

    public RoutingSettings copy() {
        RoutingSettings copy = new RoutingSettings();
        copy.seed = seed;
        copy.routers = routers;
        copy.zone = zone;
        copy.maxAttempts = maxAttempts;
        copy.cancellationAllowed = cancellationAllowed;
        copy.probesAllowed = probesAllowed;
        copy.hedgingAllowed = hedgingAllowed;
        copy.writersCanRead = writersCanRead;
        copy.endpointListPolled = endpointListPolled;
        copy.reportsWithAnswers = reportsWithAnswers;
        copy.reportsWithProbes = reportsWithProbes;
        copy.retryAfterMaxMs = retryAfterMaxMs;
        copy.slowStartShare = slowStartShare;
        copy.slowStartMs = slowStartMs;
        copy.overloadMultiple = overloadMultiple;
        copy.overloadMs = overloadMs;
        copy.overQuotaRevenue = overQuotaRevenue;
        return copy;
    }
}
