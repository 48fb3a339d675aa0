package larchridge.router;

import larchridge.site.ProductOffering;

/**
 * By when a client must be answered: with the first token of a streamed answer, with the last of an
 * answer in one piece. Times are milliseconds after the arrival. Without I/O, clock or threads.
 */
final class DeadlinePolicy {
    /** Kept free before the client's own timeout, for the final answer to reach it. */
    private static final double MARGIN_MS = 15;

    final double firstTokenMs;

    /** By when the answer must be complete; infinite for a streamed answer. */
    final double completionMs;

    private DeadlinePolicy(double firstTokenMs, double completionMs) {
        this.firstTokenMs = firstTokenMs;
        this.completionMs = completionMs;
    }

    /**
     * The deadlines of a request for this many tokens at most.
     *
     * @param unstreamed whether the client takes the answer in one piece
     * @param clientTimeoutMs how long the client waits, or infinity if it does not say
     */
    static DeadlinePolicy of(
            ProductOffering offering,
            int promptTokens,
            int maxTokens,
            boolean unstreamed,
            double clientTimeoutMs) {
        double productMs = offering.patienceMs(promptTokens);
        if (!unstreamed) {
            return new DeadlinePolicy(
                    Math.max(0, Math.min(productMs, clientTimeoutMs - MARGIN_MS)),
                    Double.POSITIVE_INFINITY);
        }
        // An answer in one piece is late when its last token is: the first is due before the
        // remaining time is too short to generate the rest.
        double completionMs =
                Math.min(productMs + maxTokens * offering.product.targetTokenIntervalMs, clientTimeoutMs)
                        - MARGIN_MS;
        return new DeadlinePolicy(
                Math.max(0, Math.min(productMs, completionMs)), Math.max(0, completionMs));
    }
}
