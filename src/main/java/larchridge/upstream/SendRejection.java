package larchridge.upstream;

import java.util.Locale;

/** Why an attempt that the policy decided on is not sent. */
public enum SendRejection {
    /** The engine is draining or was removed. */
    ENDPOINT_UNAVAILABLE,
    /** The request has its final answer. */
    ALREADY_ANSWERED,
    /** The client has disconnected. */
    CLIENT_DISCONNECTED,
    /** The attempt could repeat an effect, or run beside another where that is not allowed. */
    DUPLICATE_RISK,
    /** No time is left. */
    DEADLINE_EXCEEDED,
    /** The attempt was cancelled before it could be written. */
    CANCELLED,
    /** The limit on connections is reached. */
    NO_CONNECTION,
    /** This machine could not open a connection. */
    LOCAL_FAILURE;

    /** The name as a metric tag. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
