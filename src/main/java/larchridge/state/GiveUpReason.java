package larchridge.state;

/** Why the module gives a generation up. */
public enum GiveUpReason {
    /** Its client's time is all but over. */
    TIME_UP,
    /** It can no longer make the time in which it earns anything. */
    TOO_LATE,
    /** As many attempts as are allowed have been sent. */
    ATTEMPTS_USED,
    /** No writer may get it: none serves, or a repeat could have an effect. */
    NO_WRITER
}
