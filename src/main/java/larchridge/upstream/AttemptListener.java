package larchridge.upstream;

import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;

/**
 * Receives the events of one attempt. Methods are called on the sender's event loop, and never from
 * within the call that sends or cancels the attempt.
 */
public interface AttemptListener {
    /**
     * Called when the prompt was read and its state is held at the reader. This is the last call
     * for this attempt.
     *
     * @param state the handle with which a writer fetches the state
     * @param cachedTokens prompt tokens that the reader found in its cache
     * @param promptTokens prompt tokens as the engine counted them, or {@link
     *     AnswerSummary#TOKENS_UNREPORTED}
     * @param report the load report in the response, or null
     */
    void readCompleted(StateHandle state, int cachedTokens, int promptTokens, LoadReport report);

    /** Called when the answer starts, before its first text or events. */
    void responseStarted();

    /** Called with the next part of the answer's text. */
    void textReceived(String text);

    /**
     * Called with complete server-sent events of the answer, which are forwarded unchanged. Called
     * only by an {@link UpstreamClient} that forwards requests.
     */
    default void eventsReceived(byte[] events) {
        throw new UnsupportedOperationException("this listener forwards no events");
    }

    /**
     * Called when everything from one socket read has been delivered, so that the listener can
     * write it to the client in one write.
     */
    void socketReadCompleted();

    /**
     * Called when the engine reports an error in the request itself, which no other engine could
     * process either; {@link #attemptEnded} follows. Called only by an {@link UpstreamClient} that
     * forwards requests.
     */
    default void requestUnprocessable() {}

    /**
     * Called when a release of the state that this attempt fetches has been started, because its
     * maximum hold time was about to expire and the engine had not responded. An attempt that is
     * queued at its engine continues; no other attempt can fetch that state. Called only by an
     * {@link UpstreamClient} that forwards requests.
     */
    default void stateReleaseStarted() {}

    /**
     * Called when the attempt was rejected before writing; {@link #attemptEnded} follows. Called
     * only by an {@link UpstreamClient} that forwards requests.
     */
    default void notSent(SendRejection reason) {}

    /**
     * Called when the attempt has ended other than by {@link #readCompleted}. This is the last call
     * for this attempt.
     *
     * @param outcome the outcome of the attempt
     * @param report the engine's load report, or null
     * @param answerSummary how the answer ended; may be null unless the outcome is {@link
     *     AttemptOutcome#STREAMED}
     */
    void attemptEnded(AttemptOutcome outcome, LoadReport report, AnswerSummary answerSummary);
}
