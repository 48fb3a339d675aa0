package larchridge.upstream;

import java.util.Locale;

/** Why an attempt that was decided is not written. */
public enum SendRejection {
    /** The engine was told to drain, or is gone. */
    ENDPOINT_UNAVAILABLE,
    /** The request has its final answer. */
    ALREADY_ANSWERED,
    /** The client has closed. */
    CLIENT_DISCONNECTED,
    /** It could repeat an effect, or run beside another where that is not allowed. */
    DUPLICATE_RISK,
    /** No time is left. */
    DEADLINE_EXCEEDED,
    /** It was called off before it could be written. */
    CANCELLED,
    /** There is no room for one more connection. */
    NO_CONNECTION,
    /** This machine could not open a connection. */
    LOCAL_FAILURE;

    /** The name as a tag of a figure. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
