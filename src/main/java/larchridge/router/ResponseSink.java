package larchridge.router;

import larchridge.budget.BudgetDecision;
import larchridge.upstream.Completion;

/**
 * One client's exchange, as a dialect carries it; called on the front's loop. Exactly one final
 * answer comes.
 */
public interface ResponseSink {
    /** The answer begins; this many prompt tokens were kept from before. */
    void responseStarted(int keptTokens);

    /**
     * A piece of the answer, to be kept until {@link #flush} or a final answer; false if it can't
     * go to the client.
     */
    boolean textReceived(String text);

    /**
     * Whole events that go on as they came, to be kept like pieces; only to clients whose requests
     * were passed on.
     */
    default void eventsReceived(byte[] whole) {
        throw new UnsupportedOperationException("events are not this dialect's");
    }

    /** Pieces that are kept and have not gone out. */
    default int pendingPieces() {
        return 0;
    }

    /** What was kept goes out now. */
    default void flush() {}

    /** Whether nobody is there any more to be answered. */
    boolean isDisconnected();

    /** What the tenant has left, before anything else is told. */
    default void budgetChecked(BudgetDecision budget) {}

    /**
     * Final: the tenant is beyond its budget; coming back after the time told is harmless and, if
     * alone, let in.
     */
    void rejectedOverBudget(BudgetDecision budget);

    /** Final: the answer is whole. */
    void completed(Completion ending);

    /** Final: not now, and trying again is harmless; after so long, if more than 0. */
    void rejected(double comeBackMs);

    /** Final: failed; mayRetry tells whether trying again can do harm. */
    void failed(FailureCause cause, boolean mayRetry);

    /** Final, without a word: the client does not take what it is sent. */
    void aborted();

    /** Why a generation was terminated. */
    enum FailureCause {
        DEADLINE_EXCEEDED,
        UPSTREAM_FAILED,
        SHUTTING_DOWN,
        INTERNAL,
        UNUSABLE_ANSWER
    }
}
