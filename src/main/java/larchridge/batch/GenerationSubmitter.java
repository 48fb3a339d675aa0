package larchridge.batch;

import larchridge.router.GenerationRequest;
import larchridge.upstream.Completion;

/** Where lines are handed to become generations. */
interface GenerationSubmitter {
    /**
     * Takes a generation; exactly one of the words is told, later, on the loop of batch work,
     * unless it is called off.
     */
    Submission submit(GenerationRequest request, Listener listener);

    /** A line that is out. */
    interface Submission {
        /** Calls it off: nothing more is told. */
        void cancel();
    }

    /** How it ended. */
    interface Listener {
        void completed(String text, int cachedTokens, Completion completion);

        /** The answer is larger than the site lets a whole answer be. */
        void responseTooLarge();

        void throttled(double retryAfterMs);

        void rejectedOverBudget(double retryAfterMs);

        /** No front took it. */
        void notAccepted();

        void terminated();
    }
}
