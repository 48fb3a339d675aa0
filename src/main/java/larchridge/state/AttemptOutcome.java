package larchridge.state;

/** How an attempt ended, unless it ended with a completed read. */
public enum AttemptOutcome {
    /** The answer was received completely. */
    STREAMED(false),
    /** The engine answered with an error or an invalid response. */
    FAULT(false),
    /** The engine had no capacity. */
    FULL(true),
    /** The read state that the writer was to fetch did not exist. */
    NO_STATE(true),
    /** The router's timeout expired. */
    TIMED_OUT(false),
    /** No connection to the engine could be established. */
    UNREACHABLE(true),
    /** The connection broke before the response was complete. */
    CUT(false),
    /** The router cancelled the attempt. */
    CANCELLED(false),
    /** The request was never written to a connection. */
    NOT_SENT(true);

    /** Whether this outcome proves that the attempt had no effect. */
    public final boolean provesNotRun;

    AttemptOutcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
