package larchridge.upstream;

import static java.net.HttpURLConnection.HTTP_BAD_REQUEST;
import static java.net.HttpURLConnection.HTTP_OK;
import static java.net.HttpURLConnection.HTTP_UNAVAILABLE;

import io.vertx.core.http.ConnectionPoolTooBusyException;
import larchridge.state.AttemptOutcome;

/**
 * Decides the outcome of one attempt from what was observed of it. Safe retries rest on this class:
 * an outcome that proves the attempt never ran is given only where the engine cannot have seen the
 * request, or says itself that it did not run it.
 */
public final class AttemptClassifier {
    /** The error code by which an engine says that it does not hold the requested state. */
    static final String STATE_UNKNOWN = "kv_state_unknown";

    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int NO_RESPONSE = 0;

    private boolean requestWritten;
    private int status = NO_RESPONSE;
    private boolean responseMalformed;
    private boolean answerComplete;
    private boolean bodyEnded;
    private boolean cancelled;
    private boolean deadlineExpired;
    private boolean sendRejected;
    private String errorCode;

    /** The outcome of an attempt for which no connection could be acquired. */
    static AttemptOutcome connectionFailed(Throwable cause) {
        return cause instanceof ConnectionPoolTooBusyException
                ? AttemptOutcome.NOT_SENT
                : AttemptOutcome.UNREACHABLE;
    }

    /** The request was handed to the socket: from here on the engine may have it. */
    void requestWritten() {
        requestWritten = true;
    }

    /** The head of a response arrived. */
    void responseReceived(int responseStatus) {
        status = responseStatus;
    }

    /** The body of an error response carries this error code; null if it carries none. */
    void errorCodeReceived(String code) {
        errorCode = code;
    }

    /** The response cannot be parsed. */
    void responseMalformed() {
        responseMalformed = true;
    }

    /** The engine said that the answer, or the reading of the prompt, is complete. */
    void answerCompleted() {
        answerComplete = true;
    }

    /** The body ended as its framing announced. */
    void bodyEnded() {
        bodyEnded = true;
    }

    /** The caller cancelled the attempt. */
    void cancelled() {
        cancelled = true;
    }

    /** The caller cancelled the attempt because its time ran out. */
    void deadlineExpired() {
        cancelled = true;
        deadlineExpired = true;
    }

    /** The attempt was rejected before it was written. */
    void sendRejected() {
        sendRejected = true;
    }

    /** The outcome, once nothing more can arrive. */
    AttemptOutcome outcome() {
        if (answerComplete && !responseMalformed && status == HTTP_OK) {
            // Guards against: an engine that dies between the last token and the end of its stream
            // has answered in full.
            return AttemptOutcome.STREAMED;
        }
        if (!requestWritten) {
            return sendRejected || cancelled ? AttemptOutcome.NOT_SENT : AttemptOutcome.UNREACHABLE;
        }
        if (cancelled) {
            return deadlineExpired ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELLED;
        }
        if (responseMalformed) {
            return AttemptOutcome.FAULT;
        }
        // Guards against: a pooled connection that closes before any byte of the response looks as
        // if nothing was sent; the engine may have read the request and died. It proves nothing.
        if (status == NO_RESPONSE || !bodyEnded) {
            return AttemptOutcome.CUT;
        }
        return outcomeByStatus();
    }

    private AttemptOutcome outcomeByStatus() {
        if (status == STATUS_TOO_MANY_REQUESTS || status == HTTP_UNAVAILABLE) {
            return AttemptOutcome.FULL;
        }
        if (status >= HTTP_BAD_REQUEST && STATE_UNKNOWN.equals(errorCode)) {
            return AttemptOutcome.NO_STATE;
        }
        return status == HTTP_OK ? AttemptOutcome.CUT : AttemptOutcome.FAULT;
    }
}
