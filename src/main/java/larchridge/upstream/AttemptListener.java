package larchridge.upstream;

import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;

/**
 * Receives the events of one attempt, on the event loop of the sender and never from inside the
 * call that sent or cancelled the attempt.
 */
public interface AttemptListener {
    /**
     * The prompt was read and its state is held at the reader; the last call for this attempt.
     *
     * @param state the handle that fetches the state
     * @param cachedTokens prompt tokens that the reader found in its cache
     * @param promptTokens prompt tokens as the engine counted them, or {@link
     *     Completion#TOKENS_UNREPORTED}
     * @param report the load that the engine reported with its response, or null
     */
    void readCompleted(StateHandle state, int cachedTokens, int promptTokens, LoadReport report);

    /** The answer begins; its text follows. */
    void responseStarted();

    /** The next part of the answer's text. */
    void textReceived(String text);

    /**
     * Complete events of the answer, to be forwarded unchanged; only from clients that forward
     * requests.
     */
    default void eventsReceived(byte[] events) {
        throw new UnsupportedOperationException("this listener forwards no events");
    }

    /**
     * Everything that arrived in one read of the socket has been delivered; what was gathered of it
     * may be written to the client now, in one write.
     */
    void batchCompleted();

    /**
     * The engine says that no engine can process the request as it is; the end of the attempt
     * follows.
     */
    default void requestUnprocessable() {}

    /**
     * The state that this attempt is to fetch has been released, since its time is nearly over and
     * the engine has not responded. An attempt that waits in its engine's queue continues; no other
     * attempt can fetch that state.
     */
    default void stateReleased() {}

    /** The attempt was rejected before it was written; the end of the attempt follows. */
    default void notSent(SendRejection reason) {}

    /**
     * The last call for this attempt.
     *
     * @param outcome what became of the attempt
     * @param report the load that the engine reported, or null
     * @param completion how the answer ended; present with {@link AttemptOutcome#STREAMED} only,
     *     else null
     */
    void attemptEnded(AttemptOutcome outcome, LoadReport report, Completion completion);
}
