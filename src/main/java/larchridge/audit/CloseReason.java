package larchridge.audit;

import java.util.Locale;

/** Why a connection to a client or to an engine ended. */
public enum CloseReason {
    /** The other side closed or reset it. */
    PEER,
    /** It rested for too long. */
    IDLE,
    /** Others needed its room. */
    NO_ROOM,
    /** An answer was the last one, as one side had asked or as the process ends. */
    LAST_ANSWER,
    /** What came can't be read, was not asked for, or is not allowed. */
    BAD_INPUT,
    /** A request did not come in time. */
    REQUEST_TIMEOUT,
    /** More was sent ahead than is kept. */
    SENT_AHEAD,
    /** A stream was cut without its end. */
    STREAM_CUT,
    /** The attempt on it was called off. */
    CALLED_OFF,
    /** A read or write failed. */
    IO_FAILURE,
    /** It did not come up. */
    NOT_CONNECTED,
    /** The process ends. */
    SHUTDOWN,
    /** The other side did not end its side in the time granted after this one had ended its own. */
    LINGER_OVER;

    /** The name as a tag of a figure. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
