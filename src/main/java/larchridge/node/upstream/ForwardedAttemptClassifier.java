package larchridge.node.upstream;

import larchridge.state.AttemptOutcome;

/**
 * Determines the outcome of one attempt from the observed events. Safe retries depend on this
 * class: an outcome that proves the attempt did not run is returned only if the engine cannot have
 * started it or states that it did not. Performs no I/O and uses no clock or threads.
 */
final class ForwardedAttemptClassifier {
    /** Status before a response is received. */
    private static final int NO_STATUS = 0;

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private boolean requestWritten;
    private int status = NO_STATUS;
    private boolean declined;
    private boolean responseMalformed;
    private boolean streamComplete;
    private boolean cancelled;
    private boolean deadlineExpired;
    private boolean sendRejected;

    /**
     * Records that the last byte of the request was written to the socket; from now on the engine
     * may run it.
     */
    void requestWritten() {
        requestWritten = true;
    }

    /**
     * Records the head of the response.
     *
     * @param code the status code
     * @param declinedByEngine whether the engine states that it did not run the request
     */
    void responseHeadReceived(int code, boolean declinedByEngine) {
        status = code;
        declined = declinedByEngine;
    }

    /** Whether the response is an answer, that is, a stream of events. */
    boolean isAnswer() {
        return status == OK;
    }

    /** Whether the response is that of a completed read, whose state the engine holds. */
    boolean isCompletedRead() {
        return status == ACCEPTED;
    }

    /** Whether a response was received, which shows that the attempt reached the engine. */
    boolean hasResponse() {
        return status != NO_STATUS;
    }

    /** Records that the response cannot be decoded or does not match the request. */
    void responseMalformed() {
        responseMalformed = true;
    }

    /** Records that the event stream is complete. */
    void streamCompleted() {
        streamComplete = true;
    }

    /** Records that the sender cancelled the attempt. */
    void cancelled() {
        cancelled = true;
        deadlineExpired = false;
    }

    /** Records that the sender cancelled the attempt because its deadline passed. */
    void deadlineExpired() {
        cancelled = true;
        deadlineExpired = true;
    }

    /** Records that this node rejected the attempt before it was written. */
    void sendRejected() {
        sendRejected = true;
    }

    /**
     * Whether the engine rejected the request itself (4xx except 408 and 429, and not declined), so
     * that no other engine could process it either.
     */
    boolean isRequestUnprocessable() {
        return !declined
                && !responseMalformed
                && !cancelled
                && status >= FIRST_CLIENT_ERROR
                && status < FIRST_SERVER_ERROR
                && status != REQUEST_TIMEOUT
                && status != TOO_MANY_REQUESTS;
    }

    /** Returns the outcome; called once nothing more can arrive. */
    AttemptOutcome outcome() {
        if (streamComplete && !responseMalformed && isAnswer()) {
            return AttemptOutcome.STREAMED;
        }
        if (!requestWritten && status == NO_STATUS) {
            return sendRejected || cancelled ? AttemptOutcome.NOT_SENT : AttemptOutcome.UNREACHABLE;
        }
        // Guards against: a malformed response would be taken as proof that the attempt did not
        // run.
        if (declined
                && !responseMalformed
                && (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)) {
            return AttemptOutcome.FULL;
        }
        if (declined && !responseMalformed && status == GONE) {
            return AttemptOutcome.NO_STATE;
        }
        if (cancelled) {
            return deadlineExpired ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELLED;
        }
        if (responseMalformed) {
            return AttemptOutcome.FAULT;
        }
        return status == NO_STATUS || isAnswer() || isCompletedRead()
                ? AttemptOutcome.CUT
                : AttemptOutcome.FAULT;
    }
}
