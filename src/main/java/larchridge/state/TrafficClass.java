package larchridge.state;

/** A class of generations with common latency targets, revenue and retry rules. */
public final class TrafficClass {
    /** Name of the class in settings and metrics. */
    public final String name;

    /** The effect of running one of its generations again. */
    public final Effect effect;

    /** Which engines drop repeats, if the class is deduplicated. */
    public final DeduplicationScope deduplicationScope;

    /** How long engines drop repeats. */
    public final double deduplicationWindowMs;

    /** Revenue of an answer within the SLO time. */
    public final double revenue;

    /** Fraction of the revenue that a late answer earns. */
    public final double lateRevenue;

    /** Fixed part of the target time to the first token; see {@link #sloMsPerToken}. */
    public final double sloMs;

    /** Added to {@link #sloMs} for each prompt token. */
    public final double sloMsPerToken;

    /** Target time between two output tokens. */
    public final double targetTokenIntervalMs;

    /** Creates a traffic class. */
    public TrafficClass(
            String name,
            Effect effect,
            DeduplicationScope deduplicationScope,
            double deduplicationWindowMs,
            double revenue,
            double lateRevenue,
            double sloMs,
            double sloMsPerToken,
            double targetTokenIntervalMs) {
        this.name = name;
        this.effect = effect;
        this.deduplicationScope = deduplicationScope;
        this.deduplicationWindowMs = deduplicationWindowMs;
        this.revenue = revenue;
        this.lateRevenue = lateRevenue;
        this.sloMs = sloMs;
        this.sloMsPerToken = sloMsPerToken;
        this.targetTokenIntervalMs = targetTokenIntervalMs;
    }
}
