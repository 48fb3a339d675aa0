package larchridge.state;

/** One kind of generation: what is promised for it, what it earns and whether it may run again. */
public final class TrafficClass {
    public final String name;
    public final Effect effect;
    public final DeduplicationScope span;
    public final double memoryMs;
    public final double revenue;
    public final double lateRevenue;
    public final double sloMs;
    public final double sloMsPerTok;
    public final double tokMs;

    public TrafficClass(
            String name,
            Effect effect,
            DeduplicationScope span,
            double memoryMs,
            double revenue,
            double lateRevenue,
            double sloMs,
            double sloMsPerTok,
            double tokMs) {
        this.name = name;
        this.effect = effect;
        this.span = span;
        this.memoryMs = memoryMs;
        this.revenue = revenue;
        this.lateRevenue = lateRevenue;
        this.sloMs = sloMs;
        this.sloMsPerTok = sloMsPerTok;
        this.tokMs = tokMs;
    }
}
