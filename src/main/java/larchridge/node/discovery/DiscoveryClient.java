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
 * Keeps the engine list as the discovery agent sends it: first a snapshot, then watches, one
 * directly after the other. The last list stays while the agent is silent or sends an invalid one.
 * All methods run on the event loop.
 */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

    /**
     * An agent that has the list answers at once; silence for this part of the drain grace is taken
     * for no answer. The other half is for connecting, the answer and reading it. Guards against:
     * each call is a new connection and costs milliseconds of a small processor share, so that
     * calls at shorter intervals would delay streams.
     */
    private static final double DRAIN_GRACE_FRACTION = 0.5;

    private static final double MIN_SNAPSHOT_INTERVAL_MS = 20;

    /** Snapshot calls that may be open at a time; beyond it the oldest is closed. */
    private static final int MAX_OPEN_CONNECTIONS = 16;

    /** Of these, the ones that may receive: each may take the memory of a whole list. */
    private static final int MAX_RECEIVING_CONNECTIONS = 2;

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final Scheduler scheduler;
    private final EndpointListReader reader;
    private final Consumer<List<EngineEntry>> onChange;
    private final double snapshotIntervalMs;
    private final PollBackoff backoff;
    private final EndpointCatalog catalog = new EndpointCatalog(System::currentTimeMillis);

    /** The oldest first. More than one only while a snapshot is requested. */
    private final List<DiscoveryConnection> openConnections = new ArrayList<>();

    private Endpoint agent;
    private boolean stopped;

    /** Whether the next poll requests the full list rather than a watch. */
    private boolean snapshotNeeded = true;

    /** Whether the agent has sent a list since the start. */
    private boolean listReceived;

    /** Waits for the agent's first list; null if nobody does. */
    private Runnable firstUpdateListener;

    /**
     * @param drainGraceMs how long an engine may still be sent to once it is set to drain
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
                Math.max(MIN_SNAPSHOT_INTERVAL_MS, drainGraceMs * DRAIN_GRACE_FRACTION);
        backoff = new PollBackoff(snapshotIntervalMs);
    }

    /** Applies a list: one from the configuration, or an answer of the agent. */
    public void apply(EndpointListUpdate update) {
        if (catalog.apply(update, scheduler.nowMs(), listReceived)) {
            onChange.accept(catalog.entries());
        }
    }

    /** Runs an action once the agent has sent a list of its own, or the timeout has passed. */
    public void whenFirstUpdated(double timeoutMs, Runnable action) {
        Runnable listener =
                () -> {
                    if (firstUpdateListener != null) {
                        firstUpdateListener = null;
                        action.run();
                    }
                };
        firstUpdateListener = listener;
        if (listReceived) {
            listener.run();
        } else {
            scheduler.schedule(timeoutMs, listener);
        }
    }

    /** Polls the agent at this address from now on, beginning at once with a snapshot. */
    public void startPolling(Endpoint newAgent) {
        agent = newAgent;
        snapshotNeeded = true;
        backoff.reset();
        closeAll();
        openConnection();
    }

    /** Ends all polling for good. */
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
     * An agent that was silent may never answer what it was sent meanwhile, and once it speaks
     * again its list counts as known at once. So another call begins while this one stays open,
     * since its answer may come in slow pieces.
     */
    private void openNextConnection(DiscoveryConnection connection) {
        if (connection.isClosed() || !snapshotNeeded || openConnections.get(openConnections.size() - 1) != connection) {
            return;
        }
        if (connection.isProgressing(snapshotIntervalMs)) {
            scheduler.schedule(snapshotIntervalMs, () -> openNextConnection(connection));
        } else {
            openConnection();
        }
    }

    // ------------------------------------------------------------------ called by calls

    /** Whether the next poll requests the full list rather than a watch. */
    boolean isSnapshotNeeded() {
        return snapshotNeeded;
    }

    /** The version that a watch waits to be exceeded. */
    long version() {
        return catalog.version();
    }

    /**
     * Whether a call may receive its answer. An agent that comes back may answer all calls at once:
     * the first ones are received, the others are closed. Those that have received a part stay,
     * since a list that always comes in slow pieces would otherwise never be complete.
     */
    boolean tryStartReceiving(DiscoveryConnection connection) {
        List<DiscoveryConnection> others = openConnections.stream().filter(other -> other != connection).toList();
        if (others.stream().filter(DiscoveryConnection::isReceiving).count() >= MAX_RECEIVING_CONNECTIONS) {
            return false;
        }
        others.stream().filter(other -> !other.isReceiving()).forEach(DiscoveryConnection::close);
        return true;
    }

    /** Applies the body of an answer; false if it could not be used and the call has failed. */
    boolean applyResponse(DiscoveryConnection connection, byte[] body) {
        EndpointListUpdate update;
        try {
            update = reader.read(body);
        } catch (InvalidEndpointListException e) {
            LOG.atWarn()
                    .addKeyValue("fault", e.getMessage())
                    .log("the endpoint list from discovery is invalid; the last one stays");
            // What it would have changed is unknown; only a snapshot restores that.
            snapshotNeeded = true;
            connection.fail("invalid list");
            return false;
        }
        if (snapshotNeeded && !update.snapshot()) {
            connection.fail("changes where a snapshot was requested");
            return false;
        }
        if (!snapshotNeeded && update.version() < catalog.version()) {
            // Applied, it would return engines to service that have begun to drain.
            connection.fail("an older list");
            return false;
        }
        List.copyOf(openConnections).stream()
                .filter(other -> other != connection)
                .forEach(DiscoveryConnection::close);
        listReceived = true;
        apply(update);
        snapshotNeeded = false;
        backoff.reset();
        if (firstUpdateListener != null) {
            firstUpdateListener.run();
        }
        return true;
    }

    /** A call was closed by either side, or has failed. */
    void connectionClosed(DiscoveryConnection connection) {
        openConnections.remove(connection);
    }

    /** A call has failed and was closed; another one follows after a pause. */
    void connectionFailed(String reason) {
        LOG.atDebug().addKeyValue("reason", reason).log("discovery call failed; it is retried");
        double retryDelayMs = backoff.nextDelayMs();
        // A gap between watches may hide changes; only a snapshot shows them.
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
