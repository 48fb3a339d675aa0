package larchridge.node.upstream;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import larchridge.audit.CloseReason;
import larchridge.upstream.Endpoint;

/**
 * The connections to one endpoint. Idle ones are used most recent first, so that the others age and
 * are closed.
 */
final class ConnectionPool {
    /**
     * A response that follows directly behind another must find its connection still idle, so that
     * it is recognised as one without a request.
     */
    private static final double MIN_IDLE_MS = 3;

    /**
     * Part of an engine's keep-alive time up to which a connection is used; the rest is for what is
     * on its way.
     */
    private static final double KEEP_ALIVE_FRACTION = 0.8;

    /** A process may be stalled for so long between choosing a connection and writing to it. */
    private static final double MAX_STALL_MS = 150;

    private final Endpoint endpoint;
    private final ConnectionPools pools;

    /** Idle connections, the most recently used first. */
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

    /** Attempts at this endpoint whose end has not been reported yet. */
    int inFlightAttempts() {
        return inFlightAttempts;
    }

    void attemptStarted() {
        inFlightAttempts++;
    }

    void attemptEnded() {
        inFlightAttempts--;
    }

    /** When anything was last received from this endpoint; negative infinity if never. */
    double lastReceivedMs() {
        return lastReceivedMs;
    }

    /** Something was received from this endpoint. */
    void recordReceived(double nowMs) {
        lastReceivedMs = nowMs;
    }

    /** Takes an idle connection that can be used, or null if there is none. */
    UpstreamConnection takeIdle() {
        double nowMs = pools.nowMs();
        double limitMs = idleLimitMs();
        for (UpstreamConnection connection : idle) {
            double idleMs = nowMs - connection.idleSinceMs();
            if (idleMs >= limitMs) {
                break;
            }
            if (idleMs >= MIN_IDLE_MS && connection.isUsable()) {
                idle.remove(connection);
                return connection;
            }
        }
        return null;
    }

    /** Whether an idle connection could be used now. */
    boolean hasUsableIdle() {
        UpstreamConnection newest = idle.peekFirst();
        return newest != null
                && newest.isUsable()
                && pools.nowMs() - newest.idleSinceMs() < idleLimitMs();
    }

    void addOpening(UpstreamConnection connection) {
        connection.setIdleSince(pools.nowMs());
        all.add(connection);
    }

    /** Keeps a connection whose response has just been read. */
    void returnAfterResponse(UpstreamConnection connection) {
        connection.setIdleSince(pools.nowMs());
        lastReceivedMs = connection.idleSinceMs();
        returnUnused(connection);
    }

    /**
     * Keeps a connection on which nothing was sent: it has been idle all the time. Counted from
     * now, it would be used after its engine has closed it.
     */
    void returnUnused(UpstreamConnection connection) {
        if (!connection.isUsable()) {
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

    /** Removes a connection that has ended. */
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

    /** Closes those that have been idle since then or longer. */
    void closeIdleSince(double sinceMs, CloseReason reason) {
        while (!idle.isEmpty() && idle.peekLast().idleSinceMs() <= sinceMs) {
            idle.pollLast().close(reason);
        }
    }

    /** Since when the connection that was idle longest is so; infinity if none is idle. */
    double oldestIdleSinceMs() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekLast().idleSinceMs();
    }

    /** Closes every connection to this endpoint. */
    void closeAll() {
        Set.copyOf(all).forEach(connection -> connection.close(CloseReason.SHUTDOWN));
    }

    /** A connection that was idle for so long is not used any more. */
    double idleLimitMs() {
        double keepAliveMs = pools.limits().keepAliveMs();
        return Math.min(keepAliveMs * KEEP_ALIVE_FRACTION, keepAliveMs - MAX_STALL_MS);
    }
}
