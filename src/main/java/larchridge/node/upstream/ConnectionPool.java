package larchridge.node.upstream;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import larchridge.audit.CloseReason;
import larchridge.upstream.Endpoint;

/**
 * The connections to one address. Those that rest are used newest first, so that the rest grow old
 * and are closed.
 */
final class ConnectionPool {
    /** An answer that comes directly behind another must find its connection still at rest. */
    private static final double REST_MS = 3;

    /** Of the time after which an engine closes; the rest is for what is on its way. */
    private static final double IDLE_PART = 0.8;

    /**
     * A process may be held up for so long between taking a connection from its rest and writing to
     * it.
     */
    private static final double HELD_UP_MS = 150;

    final Endpoint spot;
    private final ForwardingUpstreamClient link;
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    private final Set<UpstreamConnection> all = new HashSet<>();

    /** Attempts that are out there. */
    int attempts;

    /** When anything was heard from there last. */
    double heardMs = Double.NEGATIVE_INFINITY;

    ConnectionPool(ForwardingUpstreamClient link, Endpoint endpoint) {
        this.link = link;
        this.spot = endpoint;
    }

    /** A connection at rest that can be used, or null. */
    UpstreamConnection take() {
        double now = link.nowMs();
        double limit = idleLimitMs();
        for (UpstreamConnection wire : idle) {
            if (now - wire.idleSinceMs >= limit) {
                break;
            }
            if (now - wire.idleSinceMs >= REST_MS && wire.isUsable()) {
                idle.remove(wire);
                return wire;
            }
        }
        return null;
    }

    /** Whether a connection rests that could be used now. */
    boolean hasIdle() {
        UpstreamConnection newest = idle.peekFirst();
        return newest != null
                && newest.isUsable()
                && link.nowMs() - newest.idleSinceMs < idleLimitMs();
    }

    void opening(UpstreamConnection wire) {
        wire.idleSinceMs = link.nowMs();
        all.add(wire);
    }

    /** Keeps a connection whose answer has just ended. */
    void rest(UpstreamConnection wire) {
        wire.idleSinceMs = link.nowMs();
        heardMs = wire.idleSinceMs;
        putBack(wire);
    }

    /**
     * Keeps a connection on which nothing was sent: it has rested all the time. Counted from now,
     * it would be used after its engine has closed it.
     */
    void putBack(UpstreamConnection wire) {
        if (!wire.isUsable()) {
            wire.close(CloseReason.PEER);
            return;
        }
        ArrayDeque<UpstreamConnection> newer = new ArrayDeque<>();
        while (!idle.isEmpty() && idle.peekFirst().idleSinceMs > wire.idleSinceMs) {
            newer.addFirst(idle.pollFirst());
        }
        idle.addFirst(wire);
        newer.forEach(idle::addFirst);
    }

    void lost(UpstreamConnection wire, CloseReason reason) {
        if (all.remove(wire)) {
            idle.remove(wire);
            link.closed(reason);
        }
    }

    int size() {
        return all.size();
    }

    /** Closes those that have rested since then or longer. */
    void closeOld(double sinceMs, CloseReason reason) {
        while (!idle.isEmpty() && idle.peekLast().idleSinceMs <= sinceMs) {
            idle.pollLast().close(reason);
        }
    }

    /** When the one that has rested longest began to; infinity if none rests. */
    double oldestMs() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekLast().idleSinceMs;
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    void closeAll() {
        Set.copyOf(all).forEach(wire -> wire.close(CloseReason.SHUTDOWN));
    }

    double idleLimitMs() {
        double keepAliveMs = link.bounds().keepAliveMs();
        return Math.min(keepAliveMs * IDLE_PART, keepAliveMs - HELD_UP_MS);
    }
}
