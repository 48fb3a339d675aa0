package larchridge.router;

import larchridge.site.ProductOffering;

/**
 * The deadlines for the response to a client: for the first token of a streaming response, and for
 * the last token of a non-streaming one. Times are in milliseconds after the arrival. Free of I/O,
 * clocks and threads.
 */
final class ResponseDeadlines {
    /** Time reserved before the client's own timeout for the final response to reach the client. */
    private static final double DELIVERY_MARGIN_MS = 15;

    final double firstTokenMs;

    /** Deadline for the complete response; infinite for a streaming response. */
    final double completionMs;

    private ResponseDeadlines(double firstTokenMs, double completionMs) {
        this.firstTokenMs = firstTokenMs;
        this.completionMs = completionMs;
    }

    /**
     * Computes the deadlines of a request with a limit on its output tokens.
     *
     * @param nonStreaming whether the client receives the response as a whole
     * @param clientTimeoutMs how long the client waits, or infinity if unknown
     */
    static ResponseDeadlines of(
            ProductOffering offering,
            int promptTokens,
            int maxTokens,
            boolean nonStreaming,
            double clientTimeoutMs) {
        double productDeadlineMs = offering.timeLimitMs(promptTokens);
        if (!nonStreaming) {
            return new ResponseDeadlines(
                    Math.max(0, Math.min(productDeadlineMs, clientTimeoutMs - DELIVERY_MARGIN_MS)),
                    Double.POSITIVE_INFINITY);
        }
        // A non-streaming response is late when its last token is late, so its first token is due
        // while enough time remains to generate the rest.
        double completionMs =
                Math.min(
                                productDeadlineMs
                                        + maxTokens * offering.trafficClass.targetTokenIntervalMs,
                                clientTimeoutMs)
                        - DELIVERY_MARGIN_MS;
        return new ResponseDeadlines(
                Math.max(0, Math.min(productDeadlineMs, completionMs)), Math.max(0, completionMs));
    }
}
