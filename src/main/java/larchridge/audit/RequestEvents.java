package larchridge.audit;

import java.util.Map;
import larchridge.state.TrafficClass;
import larchridge.upstream.Endpoint;

/**
 * What the sides of a node tell of a request as it happens on their sockets; called on the loop.
 */
public interface RequestEvents {
    /** Events that nobody wants. */
    RequestEvents IGNORED = new RequestEvents() {};

    /** A request was taken from a client that waits until limitMs for its first event. */
    default void accepted(String id, TrafficClass product, double limitMs) {}

    /** The client has closed before its final answer. */
    default void clientClosed(String id) {}

    /** A final answer, or the cut of a stream, was written to the client. */
    default void answered(String id, String kind) {}

    /**
     * An attempt is written to an engine that is told so many milliseconds; its number is given
     * back.
     */
    default int attemptWritten(String id, Endpoint endpoint, boolean reads, long toldMs) {
        return -1;
    }

    /** The prompt was read, and its state is held. */
    default void readCompleted(String id, int attempt) {}

    /** The answer has begun. */
    default void responseStarted(String id, int attempt) {}

    /** An attempt has ended otherwise; heard tells whether its engine answered anything. */
    default void attemptEnded(
            String id, int attempt, String outcome, boolean neverRan, boolean heard) {}

    /** An engine has taken the release of all that is held for the request. */
    default void stateReleased(String id) {}

    /** A connection has ended, or this side ends it. */
    default void connectionClosed(ConnectionSide side, CloseReason reason) {}

    /** The newest list of engines. */
    default void endpointsChanged(Map<Endpoint, AuditedEngine> engines) {}
}
