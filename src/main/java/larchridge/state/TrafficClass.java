package larchridge.state;

/** One kind of generation: what is promised for it, what it earns and whether it may run again. */
public final class TrafficClass {
    public final String name;
    public final Effect effect;
    public final DeduplicationScope deduplicationScope;
    public final double deduplicationWindowMs;
    public final double revenue;
    public final double lateRevenue;
    public final double sloMs;
    public final double sloMsPerToken;
    public final double tokenMs;

    public TrafficClass(
            String name,
            Effect effect,
            DeduplicationScope deduplicationScope,
            double deduplicationWindowMs,
            double revenue,
            double lateRevenue,
            double sloMs,
            double sloMsPerToken,
            double tokenMs) {
        this.name = name;
        this.effect = effect;
        this.deduplicationScope = deduplicationScope;
        this.deduplicationWindowMs = deduplicationWindowMs;
        this.revenue = revenue;
        this.lateRevenue = lateRevenue;
        this.sloMs = sloMs;
        this.sloMsPerToken = sloMsPerToken;
        this.tokenMs = tokenMs;
    }
}
