package larchridge.router;

import larchridge.budget.QuotaRequest;

/** Where a front may ask for what a budget lacks here. */
public interface QuotaClient {
    /**
     * Hears what was lent, 0 if nothing, and after how many milliseconds it could be; never from
     * inside the asking.
     */
    interface Listener {
        void granted(double tokens, double backInMs);
    }

    /** Asks; false if nobody can be asked now, and then the taker hears nothing. */
    boolean request(QuotaRequest want, Listener taker);

    /** Whether the last question was answered. */
    boolean isResponsive();
}
