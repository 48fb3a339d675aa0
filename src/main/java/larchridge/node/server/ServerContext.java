package larchridge.node.server;

import larchridge.audit.CloseReason;
import larchridge.audit.ConnectionPeer;
import larchridge.audit.RequestEvents;
import larchridge.metrics.RouterMetrics;
import larchridge.node.transport.MemoryBudget;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.site.Site;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** State that all connections of a server share; used on the event loop only. */
final class ServerContext {
    private static final Logger LOG = LoggerFactory.getLogger(ServerContext.class);

    final Scheduler scheduler;
    final Router router;
    final Site site;
    final ServerLimits limits;
    final RequestEvents events;
    final ConnectionRegistry connections;
    final MemoryBudget requestMemory;
    final RequestIds requestIds = new RequestIds();
    private final RouterMetrics metrics;
    private boolean ready;
    private boolean draining;

    ServerContext(ServerDependencies dependencies) {
        scheduler = dependencies.scheduler();
        router = dependencies.router();
        site = dependencies.site();
        limits = dependencies.limits();
        events = dependencies.events();
        metrics = dependencies.metrics();
        connections = new ConnectionRegistry(limits.maxConnections());
        requestMemory = new MemoryBudget(limits.maxBufferedBytes());
    }

    void markReady() {
        ready = true;
    }

    void startDraining() {
        draining = true;
    }

    /** Whether health checks succeed. */
    boolean isReady() {
        return ready && !draining;
    }

    /** Whether the process is shutting down. */
    boolean isDraining() {
        return draining;
    }

    /** Reports that a connection was closed. */
    void connectionClosed(CloseReason reason) {
        events.connectionClosed(ConnectionPeer.CLIENT, reason);
    }

    /** Counts and logs a request that was rejected before it was admitted. */
    void requestRejected(RequestRejection rejection) {
        metrics.requestRejectedByServer(rejection.tag());
        LOG.atDebug().addKeyValue("reason", rejection).log("request rejected");
    }
}
