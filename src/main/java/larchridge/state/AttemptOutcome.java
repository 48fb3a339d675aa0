package larchridge.state;

/** How an attempt ended, when it did not end with a completed read. */
public enum AttemptOutcome {
    /** Its answer was complete. */
    STREAMED(false),
    /** The engine answered with an error, or with what can't be understood. */
    FAULT(false),
    /** The engine had no capacity. */
    FULL(true),
    /** The state to be fetched was not there. */
    NO_STATE(true),
    /** The router's own timer ended it. */
    TIMED_OUT(false),
    /** No connection could be had. */
    UNREACHABLE(true),
    /** The connection broke before its end. */
    CUT(false),
    /** The router cancelled it. */
    CANCELLED(false),
    /** It was never written. */
    NOT_SENT(true);

    /** Whether this outcome is proof that the attempt had no effect. */
    public final boolean provesNotRun;

    AttemptOutcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
