package larchridge.state;

/** How an attempt ended, when it did not end with a finished read. */
public enum AttemptOutcome {
    STREAMED(false),
    FAULT(false),
    FULL(true),
    NO_STATE(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    CUT(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** Whether this outcome is proof that the attempt had no effect. */
    public final boolean provesNotRun;

    AttemptOutcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
