package larchridge.state;

/** Why the policy gives a generation up. */
public enum GiveUpReason {
    /** Its client's deadline is close. */
    TIME_UP,
    /** It can no longer make the time in which it earns anything. */
    TOO_LATE,
    /** As many attempts as are allowed have been sent. */
    ATTEMPTS_USED,
    /** No writer may get it: none is ready, or a repeat could have an effect. */
    NO_WRITER
}
