package larchridge.upstream;

import java.util.Locale;

/** Why an attempt that the routing policy started is not sent. */
public enum SendRejection {
    /** The engine is draining or was removed. */
    ENDPOINT_UNAVAILABLE,
    /** The request already has its final answer. */
    ALREADY_ANSWERED,
    /** The client has disconnected. */
    CLIENT_DISCONNECTED,
    /** The attempt could repeat a side effect, or run in parallel where that is not allowed. */
    DUPLICATE_RISK,
    /** The deadline has passed. */
    DEADLINE_EXCEEDED,
    /** The attempt was cancelled before it could be written. */
    CANCELLED,
    /** The connection limit is reached. */
    NO_CONNECTION,
    /** This machine could not open a connection. */
    LOCAL_FAILURE;

    /** Returns the name as a metric tag. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
