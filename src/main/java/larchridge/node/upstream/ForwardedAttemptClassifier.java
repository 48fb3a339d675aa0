package larchridge.node.upstream;

import larchridge.state.AttemptOutcome;

/**
 * Classifies how an attempt ended from what was seen of it; without I/O, clock or threads. The
 * rules on repeating a request rest on this: an outcome that proves that an attempt never ran is
 * only given where the engine can't have started it or says so itself.
 */
final class ForwardedAttemptClassifier {
    /** The status as long as no response was received. */
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
     * The last byte of the request was written to the socket: from here on the engine may run it.
     */
    void requestWritten() {
        requestWritten = true;
    }

    /**
     * The response's head was received.
     *
     * @param code the status
     * @param declinedByEngine whether the engine itself states that it did not run the request
     */
    void responseHeadReceived(int code, boolean declinedByEngine) {
        status = code;
        declined = declinedByEngine;
    }

    /** Whether the response is an answer, a stream of events. */
    boolean isAnswer() {
        return status == OK;
    }

    /** Whether the response is that of a completed read: the engine holds the state. */
    boolean isCompletedRead() {
        return status == ACCEPTED;
    }

    /** Whether the engine answered anything, so that the attempt had arrived there. */
    boolean hasResponse() {
        return status != NO_STATUS;
    }

    /** What was received can't be decoded, or does not fit the request. */
    void responseMalformed() {
        responseMalformed = true;
    }

    /** The stream of events came to its proper end. */
    void streamCompleted() {
        streamComplete = true;
    }

    /** The sender cancelled the attempt. */
    void cancelled() {
        cancelled = true;
        deadlineExpired = false;
    }

    /** The sender's time for the attempt is over. */
    void deadlineExpired() {
        cancelled = true;
        deadlineExpired = true;
    }

    /** This node kept the attempt from being written. */
    void sendRejected() {
        sendRejected = true;
    }

    /** Whether the engine says that no engine can use the request as it is. */
    boolean isRequestUnprocessable() {
        return !declined
                && !responseMalformed
                && !cancelled
                && status >= FIRST_CLIENT_ERROR
                && status < FIRST_SERVER_ERROR
                && status != REQUEST_TIMEOUT
                && status != TOO_MANY_REQUESTS;
    }

    /** The outcome, once nothing more can be received. */
    AttemptOutcome outcome() {
        if (streamComplete && !responseMalformed && isAnswer()) {
            return AttemptOutcome.STREAMED;
        }
        if (!requestWritten && status == NO_STATUS) {
            return sendRejected || cancelled ? AttemptOutcome.NOT_SENT : AttemptOutcome.UNREACHABLE;
        }
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
        // Guards against: malformed input in place of a response proves nothing about what ran
        // before it.
        if (responseMalformed) {
            return AttemptOutcome.FAULT;
        }
        return status == NO_STATUS || isAnswer() || isCompletedRead()
                ? AttemptOutcome.CUT
                : AttemptOutcome.FAULT;
    }
}
