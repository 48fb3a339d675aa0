package larchridge.audit;

import java.util.Map;
import larchridge.state.TrafficClass;
import larchridge.upstream.Endpoint;

/**
 * The request events that a node's connections report as they happen on their sockets. All methods
 * are called on the event loop.
 */
public interface RequestEvents {
    /** A listener that ignores all events. */
    RequestEvents NO_OP = new RequestEvents() {};

    /**
     * A request was accepted from a client that waits until the deadline for the first event of its
     * response.
     */
    default void accepted(String id, TrafficClass trafficClass, double deadlineMs) {}

    /** The client disconnected before its final response. */
    default void clientDisconnected(String id) {}

    /**
     * A final response was written to the client, or its stream was cut; {@code kind} is streamed,
     * throttled, cut or the cause of a failure.
     */
    default void finalResponseSent(String id, String kind) {}

    /**
     * An attempt is sent to an engine.
     *
     * @param isRead whether the attempt reads the prompt rather than generates the response
     * @param attemptTimeoutMs the timeout that the attempt sends to the engine
     * @return the attempt's number, or -1 if the request is not tracked
     */
    default int attemptSent(String id, Endpoint endpoint, boolean isRead, long attemptTimeoutMs) {
        return -1;
    }

    /** The attempt has read the prompt, and the engine holds the read state. */
    default void readCompleted(String id, int attempt) {}

    /** The first event of the response has arrived. */
    default void responseStarted(String id, int attempt) {}

    /**
     * An attempt ended other than with a completed read.
     *
     * @param provenNotRun whether the outcome proves that the engine has not run the attempt
     * @param engineResponded whether the engine has sent any response
     */
    default void attemptEnded(
            String id,
            int attempt,
            String outcome,
            boolean provenNotRun,
            boolean engineResponded) {}

    /** An engine confirmed the release of every read state that it held for the request. */
    default void stateReleased(String id) {}

    /** A connection was closed, by its peer or by this node. */
    default void connectionClosed(ConnectionPeer peer, CloseReason reason) {}

    /** The endpoint list changed; the map holds the complete list. */
    default void endpointsChanged(Map<Endpoint, AuditedEngine> engines) {}
}
