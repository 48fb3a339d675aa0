package larchridge.router;

import larchridge.budget.BudgetDecision;
import larchridge.upstream.Completion;

/**
 * One client's exchange, as a server's protocol carries it; called on the router's loop. Exactly
 * one final answer comes.
 */
public interface ResponseSink {
    /** The answer begins; this many prompt tokens were cached. */
    void responseStarted(int cachedTokens);

    /**
     * A piece of the answer, to be buffered until {@link #flush} or a final answer; false if it
     * can't be sent to the client.
     */
    boolean textReceived(String text);

    /**
     * Complete events to be sent on as they came, and buffered like pieces; only for clients whose
     * requests were forwarded.
     */
    default void eventsReceived(byte[] events) {
        throw new UnsupportedOperationException("this protocol does not forward events");
    }

    /** How many pieces are buffered and have not been sent. */
    default int pendingChunks() {
        return 0;
    }

    /** Sends what is buffered. */
    default void flush() {}

    /** Whether the client has disconnected. */
    boolean isDisconnected();

    /** What the tenant's budget says of the request; comes before anything else. */
    default void budgetChecked(BudgetDecision decision) {}

    /**
     * Final: the tenant is over its budget; retrying after the time in the decision is harmless
     * and, if it is the only request, admitted.
     */
    void rejectedOverBudget(BudgetDecision decision);

    /** Final: the answer is complete. */
    void completed(Completion completion);

    /** Final: not now, and retrying is harmless; after this time, if it is more than 0. */
    void rejected(double retryAfterMs);

    /** Final: failed; {@code mayRetry} says whether retrying is harmless. */
    void failed(FailureCause cause, boolean mayRetry);

    /** Final, without an answer: the client does not take what it is sent. */
    void aborted();

    /** Why a generation failed. */
    enum FailureCause {
        /** The client's deadline has come. */
        DEADLINE_EXCEEDED,
        /** No attempt at any engine brought an answer, or the stream broke. */
        UPSTREAM_FAILED,
        /** The router shuts down. */
        SHUTTING_DOWN,
        /** A fault of the router itself. */
        INTERNAL,
        /** Engines reject the request itself. */
        UNUSABLE_ANSWER
    }
}
