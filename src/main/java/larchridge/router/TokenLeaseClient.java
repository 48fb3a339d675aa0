package larchridge.router;

import larchridge.budget.QuotaRequest;

/** Leases tokens from the lender that the routers share when a budget on this router runs short. */
public interface TokenLeaseClient {
    /** Receives the end of a request; never called from within {@link TokenLeaseClient#request}. */
    interface Listener {
        /**
         * The lender granted or refused the tokens, or the request failed or timed out.
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
