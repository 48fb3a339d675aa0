package larchridge.node.server;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import larchridge.audit.CloseReason;

/**
 * The open client connections by what they do, and which of them is closed when there are too many.
 */
final class ConnectionRegistry {
    private final int maxConnections;
    private final Set<ClientConnection> all = new LinkedHashSet<>();

    /** Connections without a request, longest first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** Connections on which a part of a request has arrived, longest first. */
    private final Set<ClientConnection> receiving = new LinkedHashSet<>();

    /** Connections that this side has half-closed and still reads, longest first. */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    ConnectionRegistry(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Adds a new connection; closes one if there are too many. */
    void add(ClientConnection connection) {
        all.add(connection);
        idle.add(connection);
        if (all.size() > maxConnections) {
            evictExcept(connection);
        }
    }

    /**
     * Closes at once a connection that is closing anyway, else the one without a request for
     * longest, else the one whose request has been arriving for longest. Guards against: closing
     * the newest one, which is about to send a request, so that its client loses it. A close is
     * reported later than the next connection arrives: the evicted one no longer counts from now
     * on, or a burst of connections would have the same one closed again and again and use up all
     * descriptors.
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

    /** The connection has a request in flight. */
    void markServing(ClientConnection connection) {
        idle.remove(connection);
        receiving.remove(connection);
    }

    /** A part of a request has arrived on the connection. */
    void markReceiving(ClientConnection connection) {
        idle.remove(connection);
        if (isOpen(connection)) {
            receiving.add(connection);
        }
    }

    /** The connection has no request. */
    void markIdle(ClientConnection connection) {
        receiving.remove(connection);
        if (isOpen(connection)) {
            idle.add(connection);
        }
    }

    /** This side has half-closed the connection and still reads it. */
    void markClosing(ClientConnection connection) {
        markServing(connection);
        if (all.contains(connection)) {
            closing.add(connection);
        }
    }

    private boolean isOpen(ClientConnection connection) {
        return all.contains(connection) && !closing.contains(connection);
    }

    void remove(ClientConnection connection) {
        markServing(connection);
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
