package larchridge.site;

import larchridge.state.TrafficClass;
import larchridge.tokens.PromptLengthSettings;

/**
 * A product as clients request it: its traffic classes, engine model and time limit, and how the
 * lengths of its prompts are determined.
 */
public final class ProductOffering {
    public final TrafficClass trafficClass;

    /**
     * Traffic class of generations that are admitted with borrowed budget; its lower revenue counts
     * while they are queued.
     */
    public final TrafficClass borrowedTrafficClass;

    /** The model's name at the engines, or empty if it is the one that clients use. */
    public final String engineModel;

    /** Fixed part of the time limit; see {@link #timeLimitMs(int)}. */
    public final double fixedTimeLimitMs;

    public final double timeLimitMsPerPromptToken;
    public final int maxTokens;
    public final PromptLengthSettings lengthSettings;

    /** Whether its generations are batch work, which no client waits for. */
    public final boolean isBatch;

    /** Creates an offering for requests that clients wait for. */
    public ProductOffering(
            TrafficClass trafficClass,
            TrafficClass borrowedTrafficClass,
            String engineModel,
            double fixedTimeLimitMs,
            double timeLimitMsPerPromptToken,
            int maxTokens,
            PromptLengthSettings lengthSettings) {
        this(
                trafficClass,
                borrowedTrafficClass,
                engineModel,
                fixedTimeLimitMs,
                timeLimitMsPerPromptToken,
                maxTokens,
                lengthSettings,
                false);
    }

    private ProductOffering(
            TrafficClass trafficClass,
            TrafficClass borrowedTrafficClass,
            String engineModel,
            double fixedTimeLimitMs,
            double timeLimitMsPerPromptToken,
            int maxTokens,
            PromptLengthSettings lengthSettings,
            boolean isBatch) {
        this.isBatch = isBatch;
        this.trafficClass = trafficClass;
        this.borrowedTrafficClass = borrowedTrafficClass;
        this.engineModel = engineModel;
        this.fixedTimeLimitMs = fixedTimeLimitMs;
        this.timeLimitMsPerPromptToken = timeLimitMsPerPromptToken;
        this.maxTokens = maxTokens;
        this.lengthSettings = lengthSettings;
    }

    /** Returns this offering as batch work, with its revenue multiplied by a factor. */
    public ProductOffering asBatch(double revenueFactor, double attemptTimeoutMs) {
        TrafficClass batchTrafficClass =
                new TrafficClass(
                        trafficClass.name,
                        trafficClass.effect,
                        trafficClass.deduplicationScope,
                        trafficClass.deduplicationWindowMs,
                        trafficClass.revenue * revenueFactor,
                        1,
                        attemptTimeoutMs / 2,
                        trafficClass.sloMsPerToken,
                        trafficClass.targetTokenIntervalMs);
        TrafficClass borrowedBatchTrafficClass =
                new TrafficClass(
                        trafficClass.name,
                        trafficClass.effect,
                        trafficClass.deduplicationScope,
                        trafficClass.deduplicationWindowMs,
                        borrowedTrafficClass.revenue * revenueFactor,
                        1,
                        attemptTimeoutMs / 2,
                        trafficClass.sloMsPerToken,
                        trafficClass.targetTokenIntervalMs);
        return new ProductOffering(
                batchTrafficClass,
                borrowedBatchTrafficClass,
                engineModel,
                attemptTimeoutMs,
                timeLimitMsPerPromptToken,
                maxTokens,
                lengthSettings,
                true);
    }

    /** How long a client waits for the first token of a prompt of this length. */
    public double timeLimitMs(int promptTokens) {
        return fixedTimeLimitMs + timeLimitMsPerPromptToken * promptTokens;
    }
}
