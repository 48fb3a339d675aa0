package larchridge.node.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import larchridge.inventory.EngineEntry;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the endpoint list up to date by polling the discovery agent: first for a snapshot, then by
 * watches, one directly after the other. The last list stays in use while the agent is silent or
 * sends an invalid one. All methods run on the event loop.
 */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

    /**
     * If the agent does not respond to a poll for a snapshot within this fraction of the drain
     * grace, another connection is opened: an agent that has the list responds immediately. The
     * rest of the grace is for connecting, the response and reading it. Guards against: each such
     * poll opens a new connection and takes CPU time, so that a smaller fraction would delay
     * streams on a small CPU share.
     */
    private static final double SNAPSHOT_INTERVAL_FRACTION = 0.5;

    private static final double MIN_SNAPSHOT_INTERVAL_MS = 20;

    /** Maximum number of connections that poll for a snapshot; beyond it the oldest is closed. */
    private static final int MAX_OPEN_CONNECTIONS = 16;

    /**
     * Maximum number of these that may receive a response: each may need the memory of a whole
     * list.
     */
    private static final int MAX_RECEIVING_CONNECTIONS = 2;

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final Scheduler scheduler;
    private final EndpointListReader reader;
    private final Consumer<List<EngineEntry>> onChange;
    private final double snapshotIntervalMs;
    private final PollBackoff backoff;
    private final EndpointCatalog catalog = new EndpointCatalog(System::currentTimeMillis);

    /** Oldest first. There are more than one only while a snapshot is requested. */
    private final List<DiscoveryConnection> openConnections = new ArrayList<>();

    private Endpoint agent;
    private boolean stopped;

    /** Whether the next poll requests the full list rather than a watch. */
    private boolean snapshotNeeded = true;

    /** Whether the agent has sent a list since the start. */
    private boolean listReceived;

    /** Runs when the agent sends its first list; null if nothing waits for it. */
    private Runnable firstListListener;

    /**
     * @param drainGraceMs how long requests may still be sent to an engine after it is set to drain
     * @param onChange receives the complete list after each change
     */
    public DiscoveryClient(
            EventLoop loop,
            ByteBufAllocator allocator,
            Scheduler scheduler,
            EndpointListReader reader,
            double drainGraceMs,
            Consumer<List<EngineEntry>> onChange) {
        this.loop = loop;
        this.allocator = allocator;
        this.scheduler = scheduler;
        this.reader = reader;
        this.onChange = onChange;
        snapshotIntervalMs =
                Math.max(MIN_SNAPSHOT_INTERVAL_MS, drainGraceMs * SNAPSHOT_INTERVAL_FRACTION);
        backoff = new PollBackoff(snapshotIntervalMs);
    }

    /** Applies a list from the configuration or from the agent. */
    public void apply(EndpointListUpdate update) {
        if (catalog.apply(update, scheduler.nowMs(), listReceived)) {
            onChange.accept(catalog.entries());
        }
    }

    /** Runs an action once the agent has sent its first list, or after the timeout. */
    public void whenFirstListReceived(double timeoutMs, Runnable action) {
        Runnable listener =
                () -> {
                    if (firstListListener != null) {
                        firstListListener = null;
                        action.run();
                    }
                };
        firstListListener = listener;
        if (listReceived) {
            listener.run();
        } else {
            scheduler.schedule(timeoutMs, listener);
        }
    }

    /** Polls the agent at this address from now on, starting with a snapshot. */
    public void startPolling(Endpoint newAgent) {
        agent = newAgent;
        snapshotNeeded = true;
        backoff.reset();
        closeAll();
        openConnection();
    }

    /** Stops polling permanently. */
    public void stop() {
        stopped = true;
        closeAll();
    }

    private void closeAll() {
        List.copyOf(openConnections).forEach(DiscoveryConnection::close);
    }

    private void openConnection() {
        if (stopped) {
            return;
        }
        if (openConnections.size() >= MAX_OPEN_CONNECTIONS) {
            openConnections.get(0).close();
        }
        DiscoveryConnection connection = new DiscoveryConnection(this, scheduler, agent);
        openConnections.add(connection);
        connection.open(
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, allocator)
                        .option(ChannelOption.TCP_NODELAY, true));
        scheduler.schedule(snapshotIntervalMs, () -> openNextConnection(connection));
    }

    /**
     * Opens another connection if the agent stays silent: a request sent to a hung agent may never
     * be answered, and once the agent has recovered, the platform holds the node at once to the
     * list that the agent has. The earlier connection stays open, since its response may arrive in
     * slow pieces.
     */
    private void openNextConnection(DiscoveryConnection connection) {
        if (connection.isClosed()
                || !snapshotNeeded
                || openConnections.get(openConnections.size() - 1) != connection) {
            return;
        }
        if (connection.isProgressing(snapshotIntervalMs)) {
            scheduler.schedule(snapshotIntervalMs, () -> openNextConnection(connection));
        } else {
            openConnection();
        }
    }

    // ------------------------------------------------------------------ called by connections

    /** Whether the next poll requests the full list rather than a watch. */
    boolean isSnapshotNeeded() {
        return snapshotNeeded;
    }

    /** The version of the current list; a watch waits for a newer one. */
    long version() {
        return catalog.version();
    }

    /**
     * Returns false if enough other connections are receiving a response; otherwise closes those
     * that have received nothing and lets this one receive its response. An agent that recovers may
     * answer all connections at once. Connections that have received a part stay open, since a list
     * that always arrives in slow pieces would otherwise never be complete.
     */
    boolean tryStartReceiving(DiscoveryConnection connection) {
        List<DiscoveryConnection> others =
                openConnections.stream().filter(other -> other != connection).toList();
        if (others.stream().filter(DiscoveryConnection::hasResponseStarted).count()
                >= MAX_RECEIVING_CONNECTIONS) {
            return false;
        }
        others.stream()
                .filter(other -> !other.hasResponseStarted())
                .forEach(DiscoveryConnection::close);
        return true;
    }

    /**
     * Applies the body of a response; if it can't be used, fails the connection and returns false.
     */
    boolean applyResponse(DiscoveryConnection connection, byte[] body) {
        EndpointListUpdate update;
        try {
            update = reader.read(body);
        } catch (InvalidEndpointListException e) {
            LOG.atWarn()
                    .addKeyValue("fault", e.getMessage())
                    .log("the endpoint list from discovery is invalid; keeping the last one");
            // The changes it would have made are unknown; only a snapshot recovers them.
            snapshotNeeded = true;
            connection.fail("received an invalid list");
            return false;
        }
        if (snapshotNeeded && !update.snapshot()) {
            connection.fail("received changes instead of the requested snapshot");
            return false;
        }
        if (!snapshotNeeded && update.version() < catalog.version()) {
            // An older list would return engines to service that have started to drain.
            connection.fail("received an older list");
            return false;
        }
        List.copyOf(openConnections).stream()
                .filter(other -> other != connection)
                .forEach(DiscoveryConnection::close);
        listReceived = true;
        apply(update);
        snapshotNeeded = false;
        backoff.reset();
        if (firstListListener != null) {
            firstListListener.run();
        }
        return true;
    }

    /** Called when a connection was closed by either side or has failed. */
    void connectionClosed(DiscoveryConnection connection) {
        openConnections.remove(connection);
    }

    /** Called when a connection has failed and was closed; opens another one after a delay. */
    void connectionFailed(String reason) {
        LOG.atDebug().addKeyValue("reason", reason).log("discovery call failed; it is retried");
        double retryDelayMs = backoff.nextDelayMs();
        // Changes may be missed between two watches; only a snapshot shows them.
        snapshotNeeded = true;
        scheduler.schedule(
                retryDelayMs,
                () -> {
                    if (openConnections.isEmpty()) {
                        openConnection();
                    }
                });
    }
}
