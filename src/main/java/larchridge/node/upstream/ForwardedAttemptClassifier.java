package larchridge.node.upstream;

import larchridge.state.AttemptOutcome;

/**
 * What became of an attempt, judged from what was seen of it; without I/O, clock or threads. Rule 2
 * rests on this: an outcome that proves an attempt never ran is only given where the engine can't
 * have started it or says so itself.
 */
final class ForwardedAttemptClassifier {
    private boolean written;
    private int status;
    private boolean declined;
    private boolean garbled;
    private boolean whole;
    private boolean called;
    private boolean expired;
    private boolean unfit;

    /** The last byte of the request went to the socket: from here on the engine may run it. */
    void written() {
        written = true;
    }

    /**
     * The head of the answer came; declined is the engine's own word that it did not run the
     * request.
     */
    void head(int code, boolean saysNotRun) {
        status = code;
        declined = saysNotRun;
    }

    int status() {
        return status;
    }

    /** What came can't be read, or is not what was asked for. */
    void garbled() {
        garbled = true;
    }

    /** The answer came to its proper end. */
    void whole() {
        whole = true;
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

    /** Whether the engine says that nobody can use the request as it is. */
    boolean isUnusable() {
        return !declined
                && !garbled
                && !called
                && status >= 400
                && status < 500
                && status != 408
                && status != 429;
    }

    /** The outcome, once nothing more can come. */
    AttemptOutcome outcome() {
        if (whole && !garbled && status == 200) {
            return AttemptOutcome.STREAMED;
        }
        if (!written && status == 0) {
            return unfit || called ? AttemptOutcome.NOT_SENT : AttemptOutcome.UNREACHABLE;
        }
        if (declined && !garbled && (status == 503 || status == 504)) {
            return AttemptOutcome.FULL;
        }
        if (declined && !garbled && status == 410) {
            return AttemptOutcome.NO_STATE;
        }
        if (called) {
            return expired ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELLED;
        }
        // Guards against: noise in place of an answer proves nothing about what ran before it.
        if (garbled) {
            return AttemptOutcome.FAULT;
        }
        return status == 0 || status == 200 || status == 202
                ? AttemptOutcome.CUT
                : AttemptOutcome.FAULT;
    }
}
