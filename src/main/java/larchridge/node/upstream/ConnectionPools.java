package larchridge.node.upstream;

import io.netty.channel.ChannelFuture;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larchridge.audit.CloseReason;
import larchridge.audit.ConnectionSide;
import larchridge.audit.RequestEvents;
import larchridge.node.transport.ConnectFutures;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;

/**
 * The connections to all engines: one {@link ConnectionPool} for each endpoint, within a limit on
 * connections in all. At that limit the connection that has been idle longest makes room. All
 * methods run on the loop.
 */
final class ConnectionPools {
    /** Idle connections are swept this many times within an engine's keep-alive time. */
    private static final int SWEEPS_PER_KEEP_ALIVE = 20;

    private static final double MIN_SWEEP_INTERVAL_MS = 100;

    private final Scheduler scheduler;
    private final UpstreamLimits limits;
    private final ConnectionOpener opener;
    private final RequestEvents events;
    private final Map<Endpoint, ConnectionPool> pools = new LinkedHashMap<>();
    private List<Endpoint> endpoints = List.of();
    private int connectionCount;

    ConnectionPools(
            Scheduler scheduler,
            UpstreamLimits limits,
            ConnectionOpener opener,
            RequestEvents events) {
        this.scheduler = scheduler;
        this.limits = limits;
        this.opener = opener;
        this.events = events;
        scheduler.scheduleAtFixedDelay(
                Math.max(MIN_SWEEP_INTERVAL_MS, limits.keepAliveMs() / SWEEPS_PER_KEEP_ALIVE),
                this::closeIdle);
    }

    double nowMs() {
        return scheduler.nowMs();
    }

    UpstreamLimits limits() {
        return limits;
    }

    /** Replaces the list of current engines. */
    void updateEndpoints(List<Endpoint> current) {
        endpoints = List.copyOf(current);
    }

    /** The current engines, in the order of their list. */
    List<Endpoint> endpoints() {
        return endpoints;
    }

    /** The pool of an endpoint, created at its first use. */
    ConnectionPool pool(Endpoint endpoint) {
        return pools.computeIfAbsent(endpoint, key -> new ConnectionPool(this, key));
    }

    /** The pool of an endpoint, or null if it has none yet. */
    ConnectionPool existingPool(Endpoint endpoint) {
        return pools.get(endpoint);
    }

    /**
     * Starts an exchange on the most recently used idle connection or on a new one; null if there
     * is no room for one more.
     */
    UpstreamConnection startExchange(ConnectionPool pool, UpstreamExchange exchange) {
        UpstreamConnection idle = pool.takeIdle();
        if (idle != null) {
            idle.start(exchange);
            return idle;
        }
        if (pool.size() >= limits.maxConnectionsPerEndpoint()
                || (connectionCount >= limits.maxConnections() && !closeLongestIdle())) {
            return null;
        }
        return open(pool, exchange);
    }

    private UpstreamConnection open(ConnectionPool pool, UpstreamExchange exchange) {
        UpstreamConnection connection = new UpstreamConnection(pool, exchange);
        pool.addOpening(connection);
        connectionCount++;
        ChannelFuture opening =
                opener.open(pool.endpoint(), new UpstreamChannelInitializer(connection));
        connection.channelCreated(ConnectFutures.usableChannel(opening));
        ConnectFutures.whenComplete(
                opening, scheduler, () -> connection.start(exchange), connection::connectFailed);
        return connection;
    }

    /** Closes the connection that has been idle longest of all; false if none is idle. */
    private boolean closeLongestIdle() {
        ConnectionPool oldest = null;
        for (ConnectionPool pool : pools.values()) {
            if (oldest == null || pool.oldestIdleSinceMs() < oldest.oldestIdleSinceMs()) {
                oldest = pool;
            }
        }
        if (oldest == null || oldest.oldestIdleSinceMs() == Double.POSITIVE_INFINITY) {
            return false;
        }
        oldest.closeIdleSince(oldest.oldestIdleSinceMs(), CloseReason.NO_ROOM);
        return connectionCount < limits.maxConnections();
    }

    /** A connection has left its pool. */
    void connectionClosed(CloseReason reason) {
        connectionCount--;
        events.connectionClosed(ConnectionSide.ENGINE, reason);
    }

    private void closeIdle() {
        double nowMs = scheduler.nowMs();
        pools.values()
                .forEach(pool -> pool.closeIdleSince(nowMs - pool.idleLimitMs(), CloseReason.IDLE));
        pools.values().removeIf(pool -> pool.isEmpty() && !endpoints.contains(pool.endpoint()));
    }

    /** Closes every connection, in use or idle. */
    void closeAll() {
        new ArrayList<>(pools.values()).forEach(ConnectionPool::closeAll);
    }
}
