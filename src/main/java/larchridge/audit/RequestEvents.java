package larchridge.audit;

import java.util.Map;
import larchridge.state.TrafficClass;
import larchridge.upstream.Endpoint;

/**
 * What the connections of a node report of a request as it happens on their sockets. All methods
 * are called on the event loop.
 */
public interface RequestEvents {
    /** Ignores all events. */
    RequestEvents NO_OP = new RequestEvents() {};

    /** A request was accepted from a client that waits for its first event until the deadline. */
    default void accepted(String id, TrafficClass trafficClass, double deadlineMs) {}

    /** The client has closed before its final answer. */
    default void clientClosed(String id) {}

    /** A final answer was written to the client, or its stream was cut; kind says which. */
    default void finalResponseSent(String id, String kind) {}

    /**
     * An attempt is written to an engine.
     *
     * @param isRead whether it reads the prompt rather than writes the answer
     * @param attemptTimeoutMs the time that the attempt announces to the engine
     * @return the attempt's number, or -1 if nobody follows the request
     */
    default int attemptSent(String id, Endpoint endpoint, boolean isRead, long attemptTimeoutMs) {
        return -1;
    }

    /** The prompt was read, and its state is held. */
    default void readCompleted(String id, int attempt) {}

    /** The first event of the answer has arrived. */
    default void responseStarted(String id, int attempt) {}

    /**
     * An attempt has ended otherwise.
     *
     * @param provenNotRun whether the end proves that the engine has not run it
     * @param engineResponded whether the engine has answered anything
     */
    default void attemptEnded(
            String id, int attempt, String outcome, boolean provenNotRun, boolean engineResponded) {}

    /** An engine has confirmed the release of all that is held for the request. */
    default void stateReleased(String id) {}

    /** A connection was closed, by the peer or by this side. */
    default void connectionClosed(ConnectionSide side, CloseReason reason) {}

    /** The endpoint list has changed; the map holds all of it. */
    default void endpointsChanged(Map<Endpoint, AuditedEngine> engines) {}
}
