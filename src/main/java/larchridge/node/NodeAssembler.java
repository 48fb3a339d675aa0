package larchridge.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import larchridge.inventory.EngineEntry;
import larchridge.node.discovery.DiscoveryClient;
import larchridge.node.discovery.EndpointListReader;
import larchridge.node.discovery.InvalidEndpointListException;
import larchridge.node.server.HttpServer;
import larchridge.node.server.ServerDependencies;
import larchridge.node.server.ServerLimits;
import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.node.upstream.UpstreamSettings;
import larchridge.policy.RoutingPolicy;
import larchridge.router.Router;
import larchridge.settings.DeploymentSettings;
import larchridge.site.Site;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Builds the components of a node on its event loop, with limits derived from the configuration.
 */
final class NodeAssembler {
    private static final Logger LOG = LoggerFactory.getLogger(NodeAssembler.class);

    /**
     * Fractions of the file descriptors that client connections and engine connections may use; the
     * rest is kept in reserve.
     */
    private static final double CLIENT_SOCKETS_FRACTION = 0.42;

    private static final double ENGINE_SOCKETS_FRACTION = 0.45;

    /** A single engine may use at most half of the engine connections. */
    private static final int SINGLE_ENGINE_SOCKETS_DIVISOR = 2;

    private static final int MAX_BODY_BYTES = 256 << 10;
    private static final double BYTES_PER_MEBIBYTE = 1048576.0;

    /**
     * Fraction of the memory that requests may use, and the memory assumed for each open
     * generation.
     */
    private static final double REQUEST_MEMORY_FRACTION = 0.2;

    /** Fraction of the memory that incomplete events of engines' responses may use. */
    private static final double EVENT_MEMORY_FRACTION = 0.1;

    private static final int BYTES_PER_GENERATION = 16 << 10;
    private static final int MIN_OPEN_GENERATIONS = 16;
    private static final double REQUEST_PART_TIMEOUT_MS = 2000;

    /**
     * A client that stops in the middle of a request must get its error within 3 s of connecting;
     * the rest of the 3 s is for the interval of the timeout check.
     */
    private static final double REQUEST_TIMEOUT_MS = 2600;

    /**
     * How long a half-closed connection waits for the client to read the response and close its
     * side; then it is closed, even if received data is unread.
     */
    private static final double LINGER_MS = 1000;

    /** Longest silence on a client's stream; slightly less than the platform allows. */
    private static final double SILENT_STREAM_TIMEOUT_MS = 4500;

    /** How long a stream may be paused because its client does not read; then it is aborted. */
    private static final double PAUSED_STREAM_TIMEOUT_MS = 4500;

    /** Shutdown may take this multiple of the longest time that a client waits. */
    private static final int STOP_TIMEOUT_MULTIPLE = 10;

    private static final double ENGINE_STATE_LOG_INTERVAL_MS = 1000;

    private final NodeConfiguration configuration;
    private final DeploymentSettings settings;
    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final NettyScheduler scheduler;
    private final long requestMemoryBytes;
    private final long eventMemoryBytes;

    NodeAssembler(
            NodeConfiguration configuration, ByteBufAllocator allocator, NettyScheduler scheduler) {
        this.configuration = configuration;
        this.settings = configuration.settings();
        this.loop = scheduler.loop();
        this.allocator = allocator;
        this.scheduler = scheduler;
        double memoryBytes =
                Math.min(
                        (double) Runtime.getRuntime().maxMemory(),
                        configuration.memoryMb() * BYTES_PER_MEBIBYTE);
        requestMemoryBytes = (long) (memoryBytes * REQUEST_MEMORY_FRACTION);
        eventMemoryBytes = (long) (memoryBytes * EVENT_MEMORY_FRACTION);
    }

    /** Builds all components and starts polling discovery. */
    NodeComponents build() {
        Site site = site();
        NodeAudit audit = new NodeAudit(scheduler, settings);
        ForwardingUpstreamClient upstream =
                new ForwardingUpstreamClient(
                        loop, scheduler, allocator, upstreamLimits(), audit.events());
        Router router =
                new Router(
                        scheduler, site, 0, upstream, audit.newRouterMetrics(), RoutingPolicy::new);
        audit.scheduleAttemptCountCheck(scheduler, router, upstream);
        HttpServer server =
                new HttpServer(
                        new ServerDependencies(
                                scheduler,
                                router,
                                site,
                                settings.trafficClasses().values(),
                                serverLimits(),
                                audit.events(),
                                audit.newRouterMetrics()));
        DiscoveryClient discovery = startDiscovery(audit, upstream, router);
        NodeComponents components = new NodeComponents(audit, upstream, router, server, discovery);
        if (LOG.isDebugEnabled()) {
            EngineStateLog engineStates = new EngineStateLog(components, scheduler);
            scheduler.scheduleAtFixedDelay(ENGINE_STATE_LOG_INTERVAL_MS, engineStates::write);
        }
        return components;
    }

    private Site site() {
        Site site = Site.ofRoutingSettings(settings.routing());
        site.maxStateHoldMs = settings.maxStateHoldMs();
        site.drainGraceMs = settings.drainGraceMs();
        site.limits.maxOpenExchanges =
                (int) Math.max(MIN_OPEN_GENERATIONS, requestMemoryBytes / BYTES_PER_GENERATION);
        site.limits.pausedStreamTimeoutMs = PAUSED_STREAM_TIMEOUT_MS;
        site.limits.streamIdleTimeoutMs = SILENT_STREAM_TIMEOUT_MS;
        site.limits.shutdownTimeoutMs = STOP_TIMEOUT_MULTIPLE * longestTimeLimitMs();
        return site;
    }

    private double longestTimeLimitMs() {
        return settings.clientTimeoutMs().values().stream().mapToDouble(ms -> ms).max().orElse(0);
    }

    private UpstreamSettings upstreamLimits() {
        double engineSockets = configuration.maxDescriptors() * ENGINE_SOCKETS_FRACTION;
        return new UpstreamSettings(
                settings.connectTimeoutMs(),
                settings.keepAliveMs(),
                settings.maxStateHoldMs(),
                (int) engineSockets,
                (int) (engineSockets / SINGLE_ENGINE_SOCKETS_DIVISOR),
                eventMemoryBytes,
                settings.reportFields());
    }

    private ServerLimits serverLimits() {
        return new ServerLimits(
                (int) (configuration.maxDescriptors() * CLIENT_SOCKETS_FRACTION),
                MAX_BODY_BYTES,
                requestMemoryBytes,
                REQUEST_PART_TIMEOUT_MS,
                REQUEST_TIMEOUT_MS,
                settings.keepAliveMs(),
                LINGER_MS);
    }

    private DiscoveryClient startDiscovery(
            NodeAudit audit, ForwardingUpstreamClient upstream, Router router) {
        EndpointListReader reader =
                new EndpointListReader(settings.roles(), settings.memoryTokens());
        DiscoveryClient discovery =
                new DiscoveryClient(
                        loop,
                        allocator,
                        scheduler,
                        reader,
                        settings.drainGraceMs(),
                        entries -> publish(entries, audit, upstream, router));
        if (configuration.knownEndpoints().isObject()) {
            try {
                discovery.apply(reader.read(configuration.knownEndpoints()));
            } catch (InvalidEndpointListException e) {
                LOG.atWarn()
                        .addKeyValue("fault", e.getMessage())
                        .log(
                                "the known endpoint list is invalid; starting without engines"
                                        + " until discovery responds");
            }
        }
        discovery.startPolling(configuration.discovery());
        return discovery;
    }

    /**
     * Passes a new endpoint list to all components that keep one; to the router last, since it
     * sends requests.
     */
    private static void publish(
            List<EngineEntry> entries,
            NodeAudit audit,
            ForwardingUpstreamClient upstream,
            Router router) {
        List<Endpoint> endpoints = new ArrayList<>();
        entries.forEach(entry -> endpoints.add(new Endpoint(entry.host(), entry.port())));
        upstream.updateEndpoints(endpoints);
        audit.endpointsChanged(entries);
        router.endpointsChanged(entries);
    }
}
