package larchridge.site;

import larchridge.state.TrafficClass;
import larchridge.tokens.Measure;

/** A product as clients ask for it: its models and how long a client waits for a first token. */
public final class ProductOffering {
    public final TrafficClass product;

    /** The same product for a tenant beyond its own means: worth less while it waits. */
    public final TrafficClass borrowedProduct;

    /** The model's name at the engines, or null for the client's word. */
    public final String engineModel;

    public final double timeLimitMs;
    public final double timeLimitMsPerPromptToken;
    public final int maxTokens;
    public final Measure measure;

    /** Whether it is batch work, for which nobody waits. */
    public final boolean isBatch;

    public ProductOffering(
            TrafficClass product,
            TrafficClass borrowedProduct,
            String engineModel,
            double timeLimitMs,
            double timeLimitMsPerPromptToken,
            int maxTokens,
            Measure measure) {
        this(product, borrowedProduct, engineModel, timeLimitMs, timeLimitMsPerPromptToken, maxTokens, measure, false);
    }

    private ProductOffering(
            TrafficClass product,
            TrafficClass borrowedProduct,
            String engineModel,
            double timeLimitMs,
            double timeLimitMsPerPromptToken,
            int maxTokens,
            Measure measure,
            boolean isBatch) {
        this.isBatch = isBatch;
        this.product = product;
        this.borrowedProduct = borrowedProduct;
        this.engineModel = engineModel;
        this.timeLimitMs = timeLimitMs;
        this.timeLimitMsPerPromptToken = timeLimitMsPerPromptToken;
        this.maxTokens = maxTokens;
        this.measure = measure;
    }

    /** The same as batch work: worth so much less in the wait, and with this time for a try. */
    public ProductOffering asBatch(double revenueFactor, double attemptTimeoutMs) {
        TrafficClass batchProduct =
                new TrafficClass(
                        product.name,
                        product.effect,
                        product.deduplicationScope,
                        product.deduplicationWindowMs,
                        product.revenue * revenueFactor,
                        1,
                        attemptTimeoutMs / 2,
                        product.sloMsPerToken,
                        product.targetTokenIntervalMs);
        TrafficClass borrowedBatchProduct =
                new TrafficClass(
                        product.name,
                        product.effect,
                        product.deduplicationScope,
                        product.deduplicationWindowMs,
                        borrowedProduct.revenue * revenueFactor,
                        1,
                        attemptTimeoutMs / 2,
                        product.sloMsPerToken,
                        product.targetTokenIntervalMs);
        return new ProductOffering(
                batchProduct, borrowedBatchProduct, engineModel, attemptTimeoutMs, timeLimitMsPerPromptToken, maxTokens, measure, true);
    }

    /** How long a client waits for the first token of a prompt, in milliseconds. */
    public double timeLimitMs(int promptTokens) {
        return timeLimitMs + timeLimitMsPerPromptToken * promptTokens;
    }
}
