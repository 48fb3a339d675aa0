package larchridge.node.upstream;

import io.netty.channel.ChannelFuture;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larchridge.audit.CloseReason;
import larchridge.audit.ConnectionPeer;
import larchridge.audit.RequestEvents;
import larchridge.node.transport.ConnectFutures;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;

/**
 * The connections to all engines: one {@link ConnectionPool} per endpoint, with a limit on the
 * total number of connections. At that limit, the connection with the longest idle time is closed
 * to open a new one. All methods run on the event loop.
 */
final class ConnectionPools {
    /** Number of checks for expired idle connections within the engines' keep-alive time. */
    private static final int IDLE_CHECKS_PER_KEEP_ALIVE = 20;

    private static final double MIN_IDLE_CHECK_INTERVAL_MS = 100;

    private final Scheduler scheduler;
    private final UpstreamSettings settings;
    private final ConnectionOpener opener;
    private final RequestEvents requestEvents;
    private final Map<Endpoint, ConnectionPool> pools = new LinkedHashMap<>();
    private List<Endpoint> endpoints = List.of();
    private int connectionCount;

    ConnectionPools(
            Scheduler scheduler,
            UpstreamSettings settings,
            ConnectionOpener opener,
            RequestEvents requestEvents) {
        this.scheduler = scheduler;
        this.settings = settings;
        this.opener = opener;
        this.requestEvents = requestEvents;
        scheduler.scheduleAtFixedDelay(
                Math.max(
                        MIN_IDLE_CHECK_INTERVAL_MS,
                        settings.keepAliveMs() / IDLE_CHECKS_PER_KEEP_ALIVE),
                this::closeExpired);
    }

    double nowMs() {
        return scheduler.nowMs();
    }

    UpstreamSettings settings() {
        return settings;
    }

    /** Sets the current engine endpoints. */
    void updateEndpoints(List<Endpoint> current) {
        endpoints = List.copyOf(current);
    }

    /** Returns the current engine endpoints, in list order. */
    List<Endpoint> endpoints() {
        return endpoints;
    }

    /** Returns the pool of an endpoint, creating it on first use. */
    ConnectionPool pool(Endpoint endpoint) {
        return pools.computeIfAbsent(endpoint, key -> new ConnectionPool(this, key));
    }

    /** Returns the pool of an endpoint, or null if it has none. */
    ConnectionPool existingPool(Endpoint endpoint) {
        return pools.get(endpoint);
    }

    /**
     * Starts an exchange on the most recently used idle connection or on a new one; returns null if
     * a connection limit is reached.
     */
    UpstreamConnection startExchange(ConnectionPool pool, UpstreamExchange exchange) {
        UpstreamConnection idle = pool.takeIdle();
        if (idle != null) {
            idle.start(exchange);
            return idle;
        }
        if (pool.size() >= settings.maxConnectionsPerEndpoint()
                || (connectionCount >= settings.maxConnections() && !closeLongestIdle())) {
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

    /**
     * Closes the connection with the longest idle time, and any others idle for just as long;
     * returns whether a connection can be opened now.
     */
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
        return connectionCount < settings.maxConnections();
    }

    /** Called when a connection was removed from its pool. */
    void connectionClosed(CloseReason reason) {
        connectionCount--;
        requestEvents.connectionClosed(ConnectionPeer.ENGINE, reason);
    }

    /**
     * Closes connections past the idle limit and removes the empty pools of endpoints that are no
     * longer listed.
     */
    private void closeExpired() {
        double nowMs = scheduler.nowMs();
        pools.values()
                .forEach(pool -> pool.closeIdleSince(nowMs - pool.idleLimitMs(), CloseReason.IDLE));
        pools.values().removeIf(pool -> pool.isEmpty() && !endpoints.contains(pool.endpoint()));
    }

    /** Closes all connections, whether in use or idle. */
    void closeAll() {
        new ArrayList<>(pools.values()).forEach(ConnectionPool::closeAll);
    }
}
