package larchridge.state;

/** Why the policy gave up on a generation. */
public enum GiveUpReason {
    /** The client's deadline is about to expire. */
    TIME_UP,
    /** The first token can no longer arrive within the SLO time. */
    TOO_LATE,
    /** The remaining attempts do not suffice for an answer. */
    ATTEMPTS_USED,
    /** No writer is eligible: none is ready, or a repeat could have an effect. */
    NO_WRITER
}
