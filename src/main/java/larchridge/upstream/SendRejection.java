package larchridge.upstream;

import java.util.Locale;

/** Why an attempt that was decided is not written. */
public enum SendRejection {
    /** The engine was told to drain, or is gone. */
    ENGINE_LEFT,
    /** The request has its final answer. */
    ANSWERED,
    /** The client has closed. */
    CLIENT_GONE,
    /** It could repeat an effect, or run beside another where that is not allowed. */
    MAY_REPEAT,
    /** No time is left. */
    TIME_UP,
    /** It was called off before it could be written. */
    CALLED_OFF,
    /** There is no room for one more connection. */
    NO_CONNECTION,
    /** This machine could not open a connection. */
    LOCAL_FAULT;

    /** The name as a tag of a figure. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
