package larchridge.state;

/** One kind of generation: what is promised for it, what it earns and whether it may run again. */
public final class TrafficClass {
    /** Its name, as settings and metrics have it. */
    public final String name;

    /** What running one of its generations again would do. */
    public final Effect effect;

    /** Which engines drop repeats, where it is deduplicated. */
    public final DeduplicationScope deduplicationScope;

    /** For how long engines drop repeats. */
    public final double deduplicationWindowMs;

    /** What an answer in time earns. */
    public final double revenue;

    /** The part of it that a late answer earns. */
    public final double lateRevenue;

    /**
     * Until when the first token has to come, plus {@link #sloMsPerToken} for each prompt token.
     */
    public final double sloMs;

    /** What each token of the prompt adds to {@link #sloMs}. */
    public final double sloMsPerToken;

    /** The time between two tokens that is aimed at. */
    public final double targetTokenIntervalMs;

    /** A kind of generation. */
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
