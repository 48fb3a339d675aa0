package larchridge.node.transport;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;

/** Which side caused the failure of a connection attempt. */
public enum ConnectFailure {
    /**
     * The peer refused the connection, did not answer in time, or is unreachable (EHOSTUNREACH).
     */
    PEER,
    /**
     * This machine could not make the attempt, for lack of a descriptor, buffer, port or network
     * (ENETUNREACH). Says nothing about the peer.
     */
    LOCAL;

    /**
     * Classifies a failure. Linux reports ECONNREFUSED, ETIMEDOUT and EHOSTUNREACH for a peer; any
     * other failure of the socket or connect call is local.
     */
    static ConnectFailure of(Throwable cause) {
        boolean causedByPeer =
                cause instanceof ConnectException
                        || cause instanceof NoRouteToHostException
                        || cause instanceof ClosedChannelException;
        return causedByPeer && !(cause instanceof BindException) ? PEER : LOCAL;
    }
}
