package larchridge.site;

import larchridge.state.Product;

/** A product as clients ask for it: its models and how long a client waits for a first token. */
public final class Offer {
    public final Product product;
    /** The model's name at the engines, or null for the client's word. */
    public final String engineModel;
    public final double limitMs;
    public final double limitMsPerTok;
    public final int mostToks;

    public Offer(Product product, String engineModel, double limitMs, double limitMsPerTok, int mostToks) {
        this.product = product;
        this.engineModel = engineModel;
        this.limitMs = limitMs;
        this.limitMsPerTok = limitMsPerTok;
        this.mostToks = mostToks;
    }

    /** How long a client waits for the first token of a prompt, in milliseconds. */
    public double patienceMs(int promptToks) {
        return limitMs + limitMsPerTok * promptToks;
    }
}
