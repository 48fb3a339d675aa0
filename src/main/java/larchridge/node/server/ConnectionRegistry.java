package larchridge.node.server;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import larchridge.audit.CloseReason;

/** The open client connections by activity; selects which one is closed if there are too many. */
final class ConnectionRegistry {
    private final int maxConnections;
    private final Set<ClientConnection> all = new LinkedHashSet<>();

    /** Connections without a request, longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** Connections that have received a part of a request, longest receiving first. */
    private final Set<ClientConnection> receiving = new LinkedHashSet<>();

    /** Connections that this side has half-closed and still reads, oldest first. */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    ConnectionRegistry(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Adds a new connection; closes one if the limit is exceeded. */
    void add(ClientConnection connection) {
        all.add(connection);
        idle.add(connection);
        if (all.size() > maxConnections) {
            evictExcept(connection);
        }
    }

    /**
     * Closes one connection immediately: one that is closing anyway, else the longest idle one,
     * else the one that has been receiving a request for longest. Guards against: closing the
     * newest connection, which is about to send a request that its client would lose. The evicted
     * connection is removed here, not when its close is reported: several connections may be
     * accepted before that, and all would evict the same one and use up all descriptors.
     */
    private void evictExcept(ClientConnection newest) {
        ClientConnection evicted =
                Stream.of(closing, idle, receiving)
                        .flatMap(Set::stream)
                        .filter(connection -> connection != newest)
                        .findFirst()
                        .orElse(newest);
        remove(evicted);
        evicted.closeNow(CloseReason.NO_ROOM);
    }

    /** Marks a connection as neither idle nor receiving, as when a request is in flight. */
    void unmarkIdleAndReceiving(ClientConnection connection) {
        idle.remove(connection);
        receiving.remove(connection);
    }

    /** Marks a connection as having received a part of a request. */
    void markReceiving(ClientConnection connection) {
        idle.remove(connection);
        if (isOpen(connection)) {
            receiving.add(connection);
        }
    }

    /** Marks a connection as having no request. */
    void markIdle(ClientConnection connection) {
        receiving.remove(connection);
        if (isOpen(connection)) {
            idle.add(connection);
        }
    }

    /** Marks a connection as half-closed by this side and still read. */
    void markClosing(ClientConnection connection) {
        unmarkIdleAndReceiving(connection);
        if (all.contains(connection)) {
            closing.add(connection);
        }
    }

    private boolean isOpen(ClientConnection connection) {
        return all.contains(connection) && !closing.contains(connection);
    }

    void remove(ClientConnection connection) {
        unmarkIdleAndReceiving(connection);
        closing.remove(connection);
        all.remove(connection);
    }

    int size() {
        return all.size();
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    /** A copy, since visiting a connection may close it. */
    List<ClientConnection> copyOfAll() {
        return List.copyOf(all);
    }

    /** A copy, since visiting a connection may close it. */
    List<ClientConnection> copyOfIdle() {
        return List.copyOf(idle);
    }
}
