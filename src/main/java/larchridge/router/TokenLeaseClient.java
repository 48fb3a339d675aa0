package larchridge.router;

import larchridge.budget.QuotaRequest;

/** Borrows quota from the lender that the routers share when a budget on this router runs short. */
public interface TokenLeaseClient {
    /** Receives the lender's response; never called from within {@link TokenLeaseClient#request}. */
    interface Listener {
        /**
         * The lender responded, or the request timed out.
         *
         * @param tokens the granted tokens, or 0
         * @param retryAfterMs the time in milliseconds after which a grant is possible
         */
        void requestEnded(double tokens, double retryAfterMs);
    }

    /**
     * Sends a request; returns false, and does not call the listener, if the lender is unavailable.
     */
    boolean request(QuotaRequest quotaRequest, Listener listener);

    /** Whether the lender responded to the last request. */
    boolean isResponsive();
}
