package larchridge.site;

import larchridge.state.TrafficClass;
import larchridge.tokens.Measure;

/** A product as clients ask for it: its models and how long a client waits for a first token. */
public final class ProductOffering {
    public final TrafficClass product;

    /** The same product for a tenant beyond its own means: worth less while it waits. */
    public final TrafficClass borrowed;

    /** The model's name at the engines, or null for the client's word. */
    public final String engineModel;

    public final double limitMs;
    public final double limitMsPerTok;
    public final int mostToks;
    public final Measure measure;

    /** Whether it is batch work, for which nobody waits. */
    public final boolean isBatch;

    public ProductOffering(
            TrafficClass product,
            TrafficClass borrowed,
            String engineModel,
            double limitMs,
            double limitMsPerTok,
            int mostToks,
            Measure measure) {
        this(product, borrowed, engineModel, limitMs, limitMsPerTok, mostToks, measure, false);
    }

    private ProductOffering(
            TrafficClass product,
            TrafficClass borrowed,
            String engineModel,
            double limitMs,
            double limitMsPerTok,
            int mostToks,
            Measure measure,
            boolean isBatch) {
        this.isBatch = isBatch;
        this.product = product;
        this.borrowed = borrowed;
        this.engineModel = engineModel;
        this.limitMs = limitMs;
        this.limitMsPerTok = limitMsPerTok;
        this.mostToks = mostToks;
        this.measure = measure;
    }

    /** The same as batch work: worth so much less in the wait, and with this time for a try. */
    public ProductOffering asBatch(double worth, double lineMs) {
        TrafficClass slow =
                new TrafficClass(
                        product.name,
                        product.effect,
                        product.span,
                        product.memoryMs,
                        product.revenue * worth,
                        1,
                        lineMs / 2,
                        product.sloMsPerTok,
                        product.tokMs);
        TrafficClass slower =
                new TrafficClass(
                        product.name,
                        product.effect,
                        product.span,
                        product.memoryMs,
                        borrowed.revenue * worth,
                        1,
                        lineMs / 2,
                        product.sloMsPerTok,
                        product.tokMs);
        return new ProductOffering(
                slow, slower, engineModel, lineMs, limitMsPerTok, mostToks, measure, true);
    }

    /** How long a client waits for the first token of a prompt, in milliseconds. */
    public double patienceMs(int promptToks) {
        return limitMs + limitMsPerTok * promptToks;
    }
}
