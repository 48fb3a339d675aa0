package larchridge.router;

import larchridge.budget.QuotaRequest;

/** Borrows quota from the lender that the routers share, where a budget is short of it here. */
public interface QuotaClient {
    /** Receives the lender's answer; never called from inside {@link QuotaClient#request}. */
    interface Listener {
        /**
         * The lender has answered, or did not in time.
         *
         * @param tokens what was granted, or 0
         * @param retryAfterMs after how many milliseconds a grant is possible
         */
        void granted(double tokens, double retryAfterMs);
    }

    /**
     * Sends a request; false if the lender can't be asked now, and then the listener isn't called.
     */
    boolean request(QuotaRequest quotaRequest, Listener listener);

    /** Whether the lender answered the last request. */
    boolean isResponsive();
}
