package larchridge.batch;

import larchridge.router.GenerationRequest;
import larchridge.upstream.AnswerSummary;

/** Submits batch lines as generations. */
interface GenerationSubmitter {
    /**
     * Submits a generation. Exactly one method of the listener is called, later and on the batch
     * event loop, unless the submission is cancelled.
     */
    Submission submit(GenerationRequest request, Listener listener);

    /** A submitted generation. */
    interface Submission {
        /** Cancels the generation. A call to the listener that is already queued is still made. */
        void cancel();
    }

    /** Receives the outcome of a generation. */
    interface Listener {
        /** The response is complete. */
        void completed(String text, int cachedTokens, AnswerSummary summary);

        /** The response is larger than the site's limit for a non-streaming response. */
        void responseTooLarge();

        /** Rejected for now; safe to retry. {@code retryAfterMs} is the advised delay, or 0. */
        void throttled(double retryAfterMs);

        /** The tenant is over its budget; safe to retry, after the advised delay. */
        void rejectedOverBudget(double retryAfterMs);

        /** The router did not admit the generation. */
        void notAdmitted();

        /** The generation failed or was aborted; it may have run. */
        void terminated();
    }
}
