package larchridge.upstream;

import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;

/**
 * What an attempt tells its sender, on the sender's loop and never from inside the call that sent
 * or cancelled it.
 */
public interface AttemptListener {
    /** The prompt is read and its state waits; the last call for this attempt. */
    void readCompleted(StateHandle state, int keptTokens, int promptTokens, LoadReport report);

    /** The answer begins; pieces follow. */
    void responseStarted();

    /** A piece of the answer. */
    void textReceived(String text);

    /**
     * Whole events of the answer that go on as they came; only from links that pass requests on.
     */
    default void eventsReceived(byte[] whole) {
        throw new UnsupportedOperationException("nobody here passes events on");
    }

    /** All that came in one go is told; what was gathered of it may go on now, in one write. */
    void batchCompleted();

    /**
     * The engine says that the request itself can't be used, by whomever; the end of the attempt
     * follows.
     */
    default void answerUnusable() {}

    /**
     * The state that it is to fetch has been released, since the time for that is all but over and
     * nothing was heard of the attempt. Where it waits in its engine's queue it goes on; no other
     * attempt can fetch that state.
     */
    default void stateReleased() {}

    /** It was kept from being written, for this reason; the end of the attempt follows. */
    default void notSent(SendRejection reason) {}

    /** The last call for this attempt; ending is given with STREAMED only. */
    void attemptEnded(AttemptOutcome outcome, LoadReport report, Completion ending);
}
