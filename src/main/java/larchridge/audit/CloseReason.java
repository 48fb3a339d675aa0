package larchridge.audit;

import java.util.Locale;

/** Why a connection to a client or to an engine was closed. */
public enum CloseReason {
    /** The peer closed or reset the connection. */
    PEER,
    /** The connection was idle for too long. */
    IDLE,
    /** The connection limit was reached, and other connections needed the slot. */
    NO_ROOM,
    /**
     * The connection was closed after a response, because one side requested it, the response
     * preceded the end of its request or, on a client connection, the process is shutting down.
     */
    LAST_ANSWER,
    /** The received data cannot be parsed, was not requested or is not allowed. */
    BAD_INPUT,
    /** A request did not arrive in time. */
    REQUEST_TIMEOUT,
    /** The client pipelined more data than the buffer holds. */
    SENT_AHEAD,
    /** A stream ended before it was complete. */
    STREAM_CUT,
    /** The attempt on the connection was cancelled. */
    CALLED_OFF,
    /** A read or write failed. */
    IO_FAILURE,
    /** The connection could not be established. */
    NOT_CONNECTED,
    /**
     * The process is shutting down and closed a connection to an engine, or one to a client without
     * announcing the close in a response (else {@link #LAST_ANSWER}).
     */
    SHUTDOWN,
    /** The peer did not close its side in the time allowed after this side had closed its own. */
    LINGER_OVER;

    /** The name as a metric tag. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
