package larchridge.node.upstream;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import larchridge.audit.CloseReason;
import larchridge.upstream.Endpoint;

/**
 * The connections to one endpoint. The most recently used idle connection is reused first, so that
 * surplus connections reach the idle limit and are closed.
 */
final class ConnectionPool {
    /**
     * Minimum idle time before reuse. It gives an unsolicited response that follows right after the
     * requested one time to arrive while no exchange is active, so that it is recognised.
     */
    private static final double MIN_IDLE_MS = 3;

    /**
     * Fraction of an engine's keep-alive time for which an idle connection is reused. The rest
     * allows for requests in transit.
     */
    private static final double KEEP_ALIVE_FRACTION = 0.8;

    /** Allowance for a process stall between choosing a connection and writing to it. */
    private static final double MAX_STALL_MS = 150;

    private final Endpoint endpoint;
    private final ConnectionPools pools;

    /** Idle connections, most recently used first. */
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

    /** All connections: opening, in use and idle. */
    private final Set<UpstreamConnection> all = new HashSet<>();

    private int inFlightAttempts;
    private double lastReceivedMs = Double.NEGATIVE_INFINITY;

    ConnectionPool(ConnectionPools pools, Endpoint endpoint) {
        this.pools = pools;
        this.endpoint = endpoint;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the number of attempts at this endpoint that have not ended. */
    int inFlightAttempts() {
        return inFlightAttempts;
    }

    void attemptStarted() {
        inFlightAttempts++;
    }

    void attemptEnded() {
        inFlightAttempts--;
    }

    /** When a response was last received from this endpoint; negative infinity if never. */
    double lastReceivedMs() {
        return lastReceivedMs;
    }

    /** Records that a response was received from this endpoint. */
    void recordReceived(double nowMs) {
        lastReceivedMs = nowMs;
    }

    /** Removes and returns an idle connection that can be reused, or null if there is none. */
    UpstreamConnection takeIdle() {
        double nowMs = pools.nowMs();
        double limitMs = idleLimitMs();
        for (UpstreamConnection connection : idle) {
            double idleMs = nowMs - connection.idleSinceMs();
            if (idleMs >= limitMs) {
                break;
            }
            if (idleMs >= MIN_IDLE_MS && connection.isOpen()) {
                idle.remove(connection);
                return connection;
            }
        }
        return null;
    }

    /** Whether the most recently used idle connection is open and below the idle limit. */
    boolean isNewestIdleOpen() {
        UpstreamConnection newest = idle.peekFirst();
        return newest != null
                && newest.isOpen()
                && pools.nowMs() - newest.idleSinceMs() < idleLimitMs();
    }

    void addOpening(UpstreamConnection connection) {
        connection.setIdleSince(pools.nowMs());
        all.add(connection);
    }

    /** Returns a connection to the pool after its response was read. */
    void returnAfterResponse(UpstreamConnection connection) {
        connection.setIdleSince(pools.nowMs());
        lastReceivedMs = connection.idleSinceMs();
        returnToIdle(connection);
    }

    /**
     * Adds a connection to the idle ones, at the place of its idle time. The idle time of a
     * connection on which nothing was sent continues: if it restarted, the connection could be
     * reused after the engine's keep-alive timeout has closed it.
     */
    void returnToIdle(UpstreamConnection connection) {
        if (!connection.isOpen()) {
            connection.close(CloseReason.PEER);
            return;
        }
        ArrayDeque<UpstreamConnection> newer = new ArrayDeque<>();
        while (!idle.isEmpty() && idle.peekFirst().idleSinceMs() > connection.idleSinceMs()) {
            newer.addFirst(idle.pollFirst());
        }
        idle.addFirst(connection);
        newer.forEach(idle::addFirst);
    }

    /** Removes a closed connection. */
    void remove(UpstreamConnection connection, CloseReason reason) {
        if (all.remove(connection)) {
            idle.remove(connection);
            pools.connectionClosed(reason);
        }
    }

    int size() {
        return all.size();
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    /** Closes the connections that have been idle since the given time or longer. */
    void closeIdleSince(double sinceMs, CloseReason reason) {
        while (!idle.isEmpty() && idle.peekLast().idleSinceMs() <= sinceMs) {
            idle.pollLast().close(reason);
        }
    }

    /** Returns the start of the longest idle time; positive infinity if none is idle. */
    double oldestIdleSinceMs() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekLast().idleSinceMs();
    }

    /** Closes every connection to this endpoint. */
    void closeAll() {
        Set.copyOf(all).forEach(connection -> connection.close(CloseReason.SHUTDOWN));
    }

    /** Returns the idle time from which a connection is no longer reused. */
    double idleLimitMs() {
        double keepAliveMs = pools.settings().keepAliveMs();
        return Math.min(keepAliveMs * KEEP_ALIVE_FRACTION, keepAliveMs - MAX_STALL_MS);
    }
}
