package larchridge.router;

import larchridge.budget.BudgetDecision;
import larchridge.upstream.AnswerSummary;

/**
 * The client side of one exchange, implemented by servers, the batch service and simulations, and
 * called on the router's loop. Receives exactly one final call, or none if the client disconnects.
 */
public interface ResponseSink {
    /** The response starts; this many prompt tokens were cached. */
    void responseStarted(int cachedTokens);

    /**
     * Buffers a chunk of the response until {@link #flush} or the final call; returns false if the
     * chunk cannot be sent to the client.
     */
    boolean textReceived(String text);

    /**
     * Buffers complete events, like chunks, to be forwarded unchanged; only called for clients
     * whose requests are forwarded.
     */
    default void eventsReceived(byte[] events) {
        throw new UnsupportedOperationException("this protocol does not support forwarded events");
    }

    /** Number of buffered chunks that have not been sent. */
    default int pendingChunks() {
        return 0;
    }

    /** Sends the buffered chunks. */
    default void flush() {}

    /** Whether the client has disconnected. */
    boolean isDisconnected();

    /** The budgets were checked; called before any other method. */
    default void budgetChecked(BudgetDecision decision) {}

    /**
     * Final call: rejected by a budget. A retry after the time in the decision is harmless, and is
     * admitted if no other request uses the budget before it.
     */
    void rejectedOverBudget(BudgetDecision decision);

    /** Final call: the response is complete. */
    void completed(AnswerSummary completion);

    /** Final call: rejected for now. A retry is harmless, after this time if it is more than 0. */
    void rejected(double retryAfterMs);

    /** Final call: failed; {@code mayRetry} says whether a retry is harmless. */
    void failed(FailureCause cause, boolean mayRetry);

    /** Final call, without a response: the client does not read what it is sent. */
    void aborted();

    /** Why a generation failed. */
    enum FailureCause {
        /** The client's deadline has passed. */
        DEADLINE_EXCEEDED,
        /** No attempt at any engine produced a response, or the stream broke. */
        UPSTREAM_FAILED,
        /** The router is shutting down. */
        SHUTTING_DOWN,
        /** An internal error of the router. */
        INTERNAL,
        /** Engines reject the request itself. */
        UNUSABLE_ANSWER
    }
}
