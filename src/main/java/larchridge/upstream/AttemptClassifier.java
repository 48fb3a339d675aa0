package larchridge.upstream;

import larchridge.state.AttemptOutcome;

/**
 * What became of an attempt, judged from what was seen of it. Rule 2 rests on this: an outcome that
 * proves an attempt never ran is only given where the engine could not have seen it or says so
 * itself.
 */
public final class AttemptClassifier {
    /** The engine's own word that it knows no such state. */
    static final String STATE_UNKNOWN = "kv_state_unknown";

    private boolean written;
    private int status;
    private boolean garbled;
    private boolean finished;
    private boolean called;
    private boolean expired;
    private boolean unfit;
    private boolean clean;
    private String errorCode;

    /** No connection could be had. */
    static AttemptOutcome noConnection(boolean queueFull) {
        return queueFull ? AttemptOutcome.NOT_SENT : AttemptOutcome.UNREACHABLE;
    }

    /** Handed to the socket: from here on the engine may have it. */
    void written() {
        written = true;
    }

    /** The head of an answer came. */
    void answered(int code) {
        status = code;
    }

    /** The engine's code in the body of an error. */
    void errorCode(String code) {
        errorCode = code;
    }

    /** What came can't be read. */
    void garbled() {
        garbled = true;
    }

    /** The engine said that the answer is whole, or the read done. */
    void finished() {
        finished = true;
    }

    /** The body ended as it should. */
    void clean() {
        clean = true;
    }

    /** The sender does not want it any more. */
    void called(boolean timeIsUp) {
        called = true;
        expired = timeIsUp;
    }

    /** It was kept from being written. */
    void unfit() {
        unfit = true;
    }

    /** The outcome, once nothing more can come. */
    AttemptOutcome outcome() {
        if (finished && !garbled && status == 200) {
            // Guards against: an engine that dies between the last token and the end of its stream
            // has
            // answered in full.
            return AttemptOutcome.STREAMED;
        }
        if (!written) {
            return unfit || called ? AttemptOutcome.NOT_SENT : AttemptOutcome.UNREACHABLE;
        }
        if (called) {
            return expired ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELLED;
        }
        if (garbled) {
            return AttemptOutcome.FAULT;
        }
        // Guards against: a connection that was kept and closes before any byte looks as if nothing
        // was
        // sent; the engine
        // may have read it and died. It proves nothing.
        if (status == 0 || !clean) {
            return AttemptOutcome.CUT;
        }
        if (status == 429 || status == 503) {
            return AttemptOutcome.FULL;
        }
        if (status >= 400 && STATE_UNKNOWN.equals(errorCode)) {
            return AttemptOutcome.NO_STATE;
        }
        return status == 200 ? AttemptOutcome.CUT : AttemptOutcome.FAULT;
    }
}
