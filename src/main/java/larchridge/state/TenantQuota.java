package larchridge.state;

/** A customer with a stated share of the service. */
public final class TenantQuota {
    public final String name;
    public final double quotaPerSecond;

    /** Generations of the last seconds that were within the share. */
    public final SlidingWindow inShare = new SlidingWindow(10, 1000);

    public TenantQuota(String name, double quotaPerSecond) {
        this.name = name;
        this.quotaPerSecond = quotaPerSecond;
    }
}
