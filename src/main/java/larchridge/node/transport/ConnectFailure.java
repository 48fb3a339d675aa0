package larchridge.node.transport;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;

/** Whose fault it is that a connection did not come up. */
public enum ConnectFailure {
    /** The peer refused it, did not answer in time, or can't be reached. */
    PEER,
    /**
     * This machine could not even try: no descriptor, buffer, port or route for the moment. Says
     * nothing about the peer.
     */
    LOCAL;

    /**
     * Linux tells ECONNREFUSED, ETIMEDOUT and EHOSTUNREACH of a peer; what else fails at socket or
     * connect is local.
     */
    static ConnectFailure of(Throwable cause) {
        boolean ofPeer =
                cause instanceof ConnectException
                        || cause instanceof NoRouteToHostException
                        || cause instanceof ClosedChannelException;
        return ofPeer && !(cause instanceof BindException) ? PEER : LOCAL;
    }
}
