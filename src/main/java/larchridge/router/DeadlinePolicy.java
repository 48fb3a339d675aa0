package larchridge.router;

import larchridge.site.ProductOffering;

/**
 * How long a client's patience lasts: until the first token for a streamed answer, until the last
 * for a whole one. Times are milliseconds after arrival. Without I/O, clock or threads.
 */
final class DeadlinePolicy {
    /** Kept free before the client's own end, for the way of the final answer. */
    private static final double MARGIN_MS = 15;

    final double firstTokenMs;

    /** When all must be answered; infinite where a stream, once begun, has no such time. */
    final double wholeMs;

    private DeadlinePolicy(double firstTokenMs, double wholeMs) {
        this.firstTokenMs = firstTokenMs;
        this.wholeMs = wholeMs;
    }

    static DeadlinePolicy of(
            ProductOffering offer,
            int promptTokens,
            int maxTokens,
            boolean whole,
            double clientMs) {
        double product = offer.patienceMs(promptTokens);
        if (!whole) {
            return new DeadlinePolicy(
                    Math.max(0, Math.min(product, clientMs - MARGIN_MS)), Double.POSITIVE_INFINITY);
        }
        // A whole answer is late when its last token is: the first is due before the writing has
        // eaten the rest.
        double all = Math.min(product + maxTokens * offer.product.tokenMs, clientMs) - MARGIN_MS;
        return new DeadlinePolicy(Math.max(0, Math.min(product, all)), Math.max(0, all));
    }
}
