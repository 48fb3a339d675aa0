package larchridge.router;

import larchridge.site.ProductOffering;

/**
 * By when a client must be answered: with the first token of a streamed answer, with the last of an
 * answer in one piece. Times are milliseconds after the arrival. Without I/O, clock or threads.
 */
final class ResponseDeadlines {
    /** Kept free before the client's own timeout, for the final answer to reach it. */
    private static final double DELIVERY_MARGIN_MS = 15;

    final double firstTokenMs;

    /** By when the answer must be complete; infinite for a streamed answer. */
    final double completionMs;

    private ResponseDeadlines(double firstTokenMs, double completionMs) {
        this.firstTokenMs = firstTokenMs;
        this.completionMs = completionMs;
    }

    /**
     * The deadlines of a request for this many tokens at most.
     *
     * @param nonStreaming whether the client takes the answer in one piece
     * @param clientTimeoutMs how long the client waits, or infinity if it does not say
     */
    static ResponseDeadlines of(
            ProductOffering offering,
            int promptTokens,
            int maxTokens,
            boolean nonStreaming,
            double clientTimeoutMs) {
        double productDeadlineMs = offering.patienceMs(promptTokens);
        if (!nonStreaming) {
            return new ResponseDeadlines(
                    Math.max(0, Math.min(productDeadlineMs, clientTimeoutMs - DELIVERY_MARGIN_MS)),
                    Double.POSITIVE_INFINITY);
        }
        // An answer in one piece is late when its last token is: the first is due before the
        // remaining time is too short to generate the rest.
        double completionMs =
                Math.min(productDeadlineMs + maxTokens * offering.product.tokenMs, clientTimeoutMs)
                        - DELIVERY_MARGIN_MS;
        return new ResponseDeadlines(
                Math.max(0, Math.min(productDeadlineMs, completionMs)), Math.max(0, completionMs));
    }
}
