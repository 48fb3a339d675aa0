package larchridge.router;

import larchridge.budget.BudgetDecision;
import larchridge.upstream.Completion;

/**
 * One client's exchange, as a dialect carries it; called on the front's loop. Exactly one final
 * answer comes.
 */
public interface ResponseSink {
    /** The answer begins; this many prompt tokens were kept from before. */
    void begun(int keptToks);

    /**
     * A piece of the answer, to be kept until {@link #soFar} or a final answer; false if it can't
     * go to the client.
     */
    boolean piece(String text);

    /**
     * Whole events that go on as they came, to be kept like pieces; only to clients whose requests
     * were passed on.
     */
    default void events(byte[] whole) {
        throw new UnsupportedOperationException("events are not this dialect's");
    }

    /** Pieces that are kept and have not gone out. */
    default int gathered() {
        return 0;
    }

    /** What was kept goes out now. */
    default void soFar() {
        return;
    }

    /** Whether nobody is there any more to be answered. */
    boolean isGone();

    /** What the tenant has left, before anything else is told. */
    default void budget(BudgetDecision budget) {
        return;
    }

    /**
     * Final: the tenant is beyond its budget; coming back after the time told is harmless and, if
     * alone, let in.
     */
    void overBudget(BudgetDecision budget);

    /** Final: the answer is whole. */
    void streamed(Completion ending);

    /** Final: not now, and trying again is harmless; after so long, if more than 0. */
    void throttled(double comeBackMs);

    /** Final: failed; mayRetry tells whether trying again can do harm. */
    void terminated(Cause cause, boolean mayRetry);

    /** Final, without a word: the client does not take what it is sent. */
    void cut();

    /** Why a generation was terminated. */
    enum Cause {
        TIME_UP,
        BROKEN,
        STOPPING,
        INTERNAL,
        UNUSABLE
    }
}
