package larchridge.site;

import larchridge.state.TrafficClass;
import larchridge.tokens.PromptLengthSettings;

/** A product as clients request it: its traffic classes, engine model, time limit and lengths. */
public final class ProductOffering {
    public final TrafficClass product;

    /** The product for a tenant over its own budget; it has a lower revenue while it is queued. */
    public final TrafficClass borrowedProduct;

    /** The model's name at the engines, or empty if it is the one that clients use. */
    public final String engineModel;

    public final double timeLimitMs;
    public final double timeLimitMsPerPromptToken;
    public final int maxTokens;
    public final PromptLengthSettings lengthSettings;

    /** Whether its generations are batch work, which no client waits for. */
    public final boolean isBatch;

    /** Creates an offering for requests that clients wait for. */
    public ProductOffering(
            TrafficClass product,
            TrafficClass borrowedProduct,
            String engineModel,
            double timeLimitMs,
            double timeLimitMsPerPromptToken,
            int maxTokens,
            PromptLengthSettings lengthSettings) {
        this(
                product,
                borrowedProduct,
                engineModel,
                timeLimitMs,
                timeLimitMsPerPromptToken,
                maxTokens,
                lengthSettings,
                false);
    }

    private ProductOffering(
            TrafficClass product,
            TrafficClass borrowedProduct,
            String engineModel,
            double timeLimitMs,
            double timeLimitMsPerPromptToken,
            int maxTokens,
            PromptLengthSettings lengthSettings,
            boolean isBatch) {
        this.isBatch = isBatch;
        this.product = product;
        this.borrowedProduct = borrowedProduct;
        this.engineModel = engineModel;
        this.timeLimitMs = timeLimitMs;
        this.timeLimitMsPerPromptToken = timeLimitMsPerPromptToken;
        this.maxTokens = maxTokens;
        this.lengthSettings = lengthSettings;
    }

    /** Returns this offering as batch work, with its revenue multiplied by a factor. */
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
                batchProduct,
                borrowedBatchProduct,
                engineModel,
                attemptTimeoutMs,
                timeLimitMsPerPromptToken,
                maxTokens,
                lengthSettings,
                true);
    }

    /** How long a client waits for the first token of a prompt of this length. */
    public double timeLimitMs(int promptTokens) {
        return timeLimitMs + timeLimitMsPerPromptToken * promptTokens;
    }
}
