package larchridge.upstream;

import static java.net.HttpURLConnection.HTTP_BAD_REQUEST;
import static java.net.HttpURLConnection.HTTP_OK;
import static java.net.HttpURLConnection.HTTP_UNAVAILABLE;

import io.vertx.core.http.ConnectionPoolTooBusyException;
import larchridge.state.AttemptOutcome;

/**
 * Determines the outcome of one attempt over the completions API from the observed events. Safe
 * retries depend on this class: an outcome that proves the attempt did not run is returned only if
 * the engine cannot have received the request or states that it did not run it.
 */
public final class CompletionsAttemptClassifier {
    /** Error code of an engine that does not hold the requested state. */
    static final String STATE_UNKNOWN = "kv_state_unknown";

    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int NO_RESPONSE = 0;

    private boolean writeStarted;
    private int status = NO_RESPONSE;
    private boolean responseMalformed;
    private boolean answerComplete;
    private boolean bodyEnded;
    private boolean cancelled;
    private boolean deadlineExpired;
    private boolean sendRejected;
    private String errorCode;

    /** Returns the outcome of an attempt for which no connection could be acquired. */
    static AttemptOutcome connectionFailed(Throwable cause) {
        return cause instanceof ConnectionPoolTooBusyException
                ? AttemptOutcome.NOT_SENT
                : AttemptOutcome.UNREACHABLE;
    }

    /** Records that the request is about to be written; from now on the engine may receive it. */
    void writeStarted() {
        writeStarted = true;
    }

    /** Records the status of the response. */
    void responseReceived(int responseStatus) {
        status = responseStatus;
    }

    /** Records the error code in the body of an error response; null if there is none. */
    void errorCodeReceived(String code) {
        errorCode = code;
    }

    /** Records that the response cannot be parsed. */
    void responseMalformed() {
        responseMalformed = true;
    }

    /** Records that the engine reported the end of the answer. */
    void answerCompleted() {
        answerComplete = true;
    }

    /** Records that the body is complete by its HTTP framing. */
    void bodyEnded() {
        bodyEnded = true;
    }

    /** Records that the caller cancelled the attempt. */
    void cancelled() {
        cancelled = true;
    }

    /** Records that the caller cancelled the attempt because its deadline passed. */
    void deadlineExpired() {
        cancelled = true;
        deadlineExpired = true;
    }

    /** Records that the attempt was rejected before it was written. */
    void sendRejected() {
        sendRejected = true;
    }

    /** Returns the outcome; called once nothing more can arrive. */
    AttemptOutcome outcome() {
        if (answerComplete && !responseMalformed && status == HTTP_OK) {
            // Guards against: an engine that exits between the last token and the end of the stream
            // would be reported as failed although its answer is complete.
            return AttemptOutcome.STREAMED;
        }
        if (!writeStarted) {
            return sendRejected || cancelled ? AttemptOutcome.NOT_SENT : AttemptOutcome.UNREACHABLE;
        }
        if (cancelled) {
            return deadlineExpired ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELLED;
        }
        if (responseMalformed) {
            return AttemptOutcome.FAULT;
        }
        // Guards against: a pooled connection that closes before the first byte of the response
        // would be taken as proof that the attempt did not run. The engine may have read the
        // request before it exited.
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
