package larchridge.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import larchridge.inventory.EngineEntry;
import larchridge.node.server.HttpServer;
import larchridge.node.server.ServerDependencies;
import larchridge.node.server.ServerLimits;
import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.node.upstream.UpstreamSettings;
import larchridge.policy.RoutingPolicy;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.router.VirtualTimeScheduler;
import larchridge.settings.DeploymentSettings;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.settings.InvalidSettingsException;
import larchridge.site.Site;
import larchridge.state.EndpointState;
import larchridge.state.Role;
import larchridge.upstream.Endpoint;

/**
 * Serves generations of its own before a node reports ready, so that the code on their path is
 * loaded and compiled. It has its own router, server and upstream client over in-memory
 * connections, in virtual time; it contacts no other process and leaves no state behind.
 */
final class NodeWarmup {
    private static final int ENGINES = 12;

    /** One in this many requests is followed by an invalid one. */
    private static final int INVALID_REQUEST_PERIOD = 8;

    /** Virtual time between requests, and the engines' latency for a response or an event. */
    private static final double STEP_MS = 7;

    /** Maximum number of steps to wait for responses after the last request. */
    private static final int MAX_FINAL_STEPS = 200;

    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final double NO_TIMEOUT_MS = 1e6;
    private static final int MAX_OPEN_GENERATIONS = 1000;
    private static final int MAX_CONNECTIONS = 400;
    private static final int MAX_CONNECTIONS_PER_ENGINE = 200;
    private static final int MAX_BODY_BYTES = 1 << 18;
    private static final long MAX_BUFFERED_BYTES = 1 << 22;
    private static final double MEMORY_TOKENS = 200_000;

    private final VirtualTimeScheduler virtualTime = new VirtualTimeScheduler();
    private final WarmupEngines engines = new WarmupEngines(virtualTime, STEP_MS);
    private final WarmupClients clients;

    private NodeWarmup() throws InvalidSettingsException, IOException {
        DeploymentSettings settings =
                DeploymentSettingsReader.read(new ObjectMapper().readTree(WarmupSettings.JSON), 1);
        Scheduler scheduler = virtualTime.routerScheduler(0, settings.routing().seed());
        Site site = site(settings);
        NodeAudit audit = new NodeAudit(scheduler, settings);
        ForwardingUpstreamClient upstream =
                new ForwardingUpstreamClient(
                        scheduler,
                        upstreamLimits(settings),
                        (endpoint, handlers) -> engines.open(handlers),
                        audit.events());
        Router router =
                new Router(
                        scheduler, site, 0, upstream, audit.newRouterMetrics(), RoutingPolicy::new);
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
        clients = new WarmupClients(server);
        List<EngineEntry> entries = entries();
        audit.endpointsChanged(entries);
        upstream.updateEndpoints(
                entries.stream().map(entry -> new Endpoint(entry.host(), entry.port())).toList());
        router.endpointsChanged(entries);
    }

    private static Site site(DeploymentSettings settings) {
        Site site = Site.ofRoutingSettings(settings.routing());
        site.limits.maxOpenExchanges = MAX_OPEN_GENERATIONS;
        site.limits.pausedStreamTimeoutMs = NO_TIMEOUT_MS;
        site.limits.streamIdleTimeoutMs = NO_TIMEOUT_MS;
        site.limits.shutdownTimeoutMs = NO_TIMEOUT_MS;
        site.maxStateHoldMs = settings.maxStateHoldMs();
        return site;
    }

    private static UpstreamSettings upstreamLimits(DeploymentSettings settings) {
        return new UpstreamSettings(
                settings.connectTimeoutMs(),
                settings.keepAliveMs(),
                settings.maxStateHoldMs(),
                MAX_CONNECTIONS,
                MAX_CONNECTIONS_PER_ENGINE,
                MAX_BUFFERED_BYTES,
                settings.reportFields());
    }

    private static ServerLimits serverLimits() {
        return new ServerLimits(
                MAX_CONNECTIONS,
                MAX_BODY_BYTES,
                MAX_BUFFERED_BYTES,
                NO_TIMEOUT_MS,
                NO_TIMEOUT_MS,
                NO_TIMEOUT_MS,
                NO_TIMEOUT_MS);
    }

    /** Engines of all roles in two zones and three racks; the last one has just started. */
    private List<EngineEntry> entries() {
        List<EngineEntry> entries = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Role role = i % 3 == 0 ? Role.READER : i % 3 == 1 ? Role.WRITER : Role.BOTH;
            entries.add(
                    new EngineEntry(
                            i + 1,
                            "e" + i,
                            1,
                            role,
                            i % 2 == 0 ? "a" : "b",
                            i / 4,
                            1,
                            MEMORY_TOKENS,
                            i == ENGINES - 1 ? virtualTime.nowMs() : 0,
                            EndpointState.READY));
        }
        return entries;
    }

    /**
     * Serves this many generations, or fewer if the time limit is reached.
     *
     * @param maxMs time limit, in real time
     * @return the number of generations that were served completely
     */
    static int run(int generations, double maxMs) {
        NodeWarmup warmup;
        try {
            warmup = new NodeWarmup();
        } catch (InvalidSettingsException | IOException e) {
            throw new IllegalStateException(
                    "the built-in warm-up settings are invalid: " + e.getMessage(), e);
        }
        warmup.serve(generations, System.nanoTime() + (long) (maxMs * NANOS_PER_MILLISECOND));
        return warmup.clients.completed();
    }

    private void serve(int generations, long deadlineNanos) {
        while (clients.sent() < generations && System.nanoTime() < deadlineNanos) {
            clients.send();
            if (clients.sent() % INVALID_REQUEST_PERIOD == 0) {
                clients.sendInvalid(clients.sent() / INVALID_REQUEST_PERIOD);
            }
            step();
        }
        for (int i = 0; i < MAX_FINAL_STEPS && clients.completed() < clients.sent(); i++) {
            step();
        }
    }

    private void step() {
        virtualTime.run(virtualTime.elapsedMs() + STEP_MS);
        engines.step();
        clients.step();
    }
}
