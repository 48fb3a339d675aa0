package larchridge.site;

import larchridge.state.TrafficClass;
import larchridge.tokens.PromptLengthSettings;

/** A product as clients ask for it: its models and how long a client waits for a first token. */
public final class ProductOffering {
    public final TrafficClass product;

    /** The same product for a tenant beyond its own means: worth less while it waits. */
    public final TrafficClass borrowed;

    /** The model's name at the engines, or null for the client's word. */
    public final String engineModel;

    public final double limitMs;
    public final double limitMsPerToken;
    public final int mostTokens;
    public final PromptLengthSettings measure;

    /** Whether it is batch work, for which nobody waits. */
    public final boolean isBatch;

    public ProductOffering(
            TrafficClass product,
            TrafficClass borrowed,
            String engineModel,
            double limitMs,
            double limitMsPerToken,
            int mostTokens,
            PromptLengthSettings measure) {
        this(product, borrowed, engineModel, limitMs, limitMsPerToken, mostTokens, measure, false);
    }

    private ProductOffering(
            TrafficClass product,
            TrafficClass borrowed,
            String engineModel,
            double limitMs,
            double limitMsPerToken,
            int mostTokens,
            PromptLengthSettings measure,
            boolean isBatch) {
        this.isBatch = isBatch;
        this.product = product;
        this.borrowed = borrowed;
        this.engineModel = engineModel;
        this.limitMs = limitMs;
        this.limitMsPerToken = limitMsPerToken;
        this.mostTokens = mostTokens;
        this.measure = measure;
    }

    /** The same as batch work: worth so much less in the wait, and with this time for a try. */
    public ProductOffering asBatch(double worth, double lineMs) {
        TrafficClass slow =
                new TrafficClass(
                        product.name,
                        product.effect,
                        product.deduplicationScope,
                        product.deduplicationWindowMs,
                        product.revenue * worth,
                        1,
                        lineMs / 2,
                        product.sloMsPerToken,
                        product.targetTokenIntervalMs);
        TrafficClass slower =
                new TrafficClass(
                        product.name,
                        product.effect,
                        product.deduplicationScope,
                        product.deduplicationWindowMs,
                        borrowed.revenue * worth,
                        1,
                        lineMs / 2,
                        product.sloMsPerToken,
                        product.targetTokenIntervalMs);
        return new ProductOffering(
                slow, slower, engineModel, lineMs, limitMsPerToken, mostTokens, measure, true);
    }

    /** How long a client waits for the first token of a prompt, in milliseconds. */
    public double patienceMs(int promptTokens) {
        return limitMs + limitMsPerToken * promptTokens;
    }
}
