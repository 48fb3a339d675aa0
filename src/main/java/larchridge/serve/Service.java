package larchridge.serve;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.file.Path;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import larchridge.batch.BatchService;
import larchridge.budget.QuotaLender;
import larchridge.inventory.EngineEntry;
import larchridge.inventory.EngineListWatcher;
import larchridge.inventory.InvalidEngineListException;
import larchridge.lease.LeaseClient;
import larchridge.lease.LeaseEndpoint;
import larchridge.ledger.Ledger;
import larchridge.ledger.LedgerException;
import larchridge.ledger.UsageTotal;
import larchridge.messages.MessagesEndpoint;
import larchridge.metrics.RouterMetrics;
import larchridge.router.Router;
import larchridge.site.Site;
import larchridge.store.CrashPoints;
import larchridge.tokens.CountingResources;
import larchridge.upstream.CompletionsUpstreamClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The part of the service that runs in this process: the routers of its site file, each on its own
 * event loop, and the admin listener, the batch API and the ledger if they are configured.
 */
public final class Service {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);
    private static final long LIFECYCLE_TIMEOUT_MS = 20_000;

    private final Vertx vertx;
    private final Site site;
    private final CrashPoints crashPoints;
    private final PrometheusMeterRegistry registry = RouterMetrics.newRegistry();
    private final List<RouterVerticle> verticles = new ArrayList<>();

    /** The routers that are started; each gets every new engine list, on its own loop. */
    private final List<Router> routers = new CopyOnWriteArrayList<>();

    private boolean stopped;
    private HttpServer admin;
    private Ledger ledger;
    private final CountingResources counters;
    private Map<Ledger.TotalKey, UsageTotal> initialUsage = Map.of();
    private EngineListWatcher engineListWatcher;

    /** Null if the batch API is not served. */
    private BatchService batchService;

    /**
     * Leases to routers the part of the budgets' rates that is not divided into fixed parts; null
     * if another process does or nothing is leased. Used only on the admin listener's loop.
     */
    private QuotaLender quotaLender;

    private Context adminContext;

    private Service(Site site, CrashPoints crashPoints) {
        this.site = site;
        this.crashPoints = crashPoints;
        if (site.seed == 0) {
            // Guards against: with the same random draws, all routers that see the same state would
            // make the same choices.
            site.seed = System.nanoTime() ^ ProcessHandle.current().pid() << 40;
        }
        counters =
                new CountingResources(
                        site.limits.tokenCountCacheBytes,
                        site.limits.tokenCountThreads,
                        site.limits.maxQueuedTokenCounts,
                        site.limits.bytesPerToken);
        RouterMetrics.registerTokenCountCache(
                registry, counters.cache::size, counters.cache::hits, counters.cache::misses);
        vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(Math.max(2, site.routers + 1))
                                .setPreferNativeTransport(true));
    }

    /** Starts all routers; fails if the engine list is invalid. */
    public static Service start(Site site)
            throws InvalidEngineListException, LedgerException, InterruptedException {
        return start(site, CrashPoints.NONE);
    }

    /** Starts all routers, with a hook for tests that is called around the store's writes. */
    public static Service start(Site site, CrashPoints crashPoints)
            throws InvalidEngineListException, LedgerException, InterruptedException {
        Service service = new Service(site, crashPoints);
        try {
            service.run();
        } catch (LedgerException | InvalidEngineListException e) {
            service.vertx.close();
            throw e;
        } catch (ExecutionException | TimeoutException e) {
            service.vertx.close();
            throw new IllegalStateException("not started: " + e.getMessage(), e);
        }
        return service;
    }

    private void run()
            throws InvalidEngineListException,
                    LedgerException,
                    InterruptedException,
                    ExecutionException,
                    TimeoutException {
        engineListWatcher =
                new EngineListWatcher(
                        site.engineListFile,
                        entries ->
                                routers.forEach(
                                        router ->
                                                router.loop()
                                                        .runOnContext(
                                                                v ->
                                                                        router.endpointsChanged(
                                                                                entries))));
        List<EngineEntry> initialEngines = engineListWatcher.readInitial();
        if (site.ledgerFolder != null) {
            ledger = Ledger.open(site.ledgerFolder, site.maxWaitingLedgerRecords);
            initialUsage = ledger.totals(YearMonth.now(ZoneOffset.UTC));
        }
        for (int i = 0; i < site.routers; i++) {
            RouterVerticle verticle = new RouterVerticle(i, initialEngines);
            verticles.add(verticle);
            await(vertx.deployVerticle((Deployable) verticle, new DeploymentOptions()));
        }
        engineListWatcher.start(vertx, site.engineListPollMs);
        if (site.adminHost != null) {
            adminContext = vertx.getOrCreateContext();
            Promise<HttpServer> listening = Promise.promise();
            adminContext.runOnContext(v -> listenForAdmin().onComplete(listening));
            admin = await(listening.future());
        }
        if (site.lenderHost != null) {
            int port = site.lenderPort == 0 ? admin.actualPort() : site.lenderPort;
            routers.forEach(
                    router ->
                            router.loop()
                                    .runOnContext(
                                            v ->
                                                    router.setTokenLeaseClient(
                                                            new LeaseClient(
                                                                    vertx,
                                                                    site.lenderHost,
                                                                    port,
                                                                    site.leaseCallTimeoutMs))));
        }
        if (site.batchSettings != null) {
            try {
                batchService =
                        BatchService.start(
                                site, List.copyOf(routers), counters, registry, crashPoints);
            } catch (IOException e) {
                throw new IllegalStateException(e.getMessage(), e);
            }
        }
        LOG.atInfo()
                .addKeyValue("fronts", site.routers)
                .addKeyValue("engines", initialEngines.size())
                .addKeyValue("ports", ports())
                .addKeyValue("seed", site.seed)
                .log("serving");
    }

    /** Serves metrics, health, snapshots and, if this process is the lender, leases on one loop. */
    private Future<HttpServer> listenForAdmin() {
        if (site.isLender) {
            quotaLender = new QuotaLender(site.leasedShare());
            site.configureBudgets(quotaLender, monotonicMs());
        }
        LeaseEndpoint leaseEndpoint =
                quotaLender == null ? null : new LeaseEndpoint(quotaLender, Service::monotonicMs);
        return vertx.createHttpServer()
                .requestHandler(
                        request -> {
                            if (request.path().equals("/metrics")) {
                                request.response()
                                        .putHeader("content-type", "text/plain; version=0.0.4")
                                        .end(registry.scrape());
                            } else if (request.path().equals("/health")) {
                                request.response().end("ok\n");
                            } else if (batchService != null
                                    && request.path().equals("/store/snapshot")
                                    && request.method().equals(HttpMethod.POST)) {
                                snapshot(request);
                            } else if (leaseEndpoint != null
                                    && request.path().equals(LeaseEndpoint.PATH)) {
                                leaseEndpoint.handle(request);
                            } else {
                                request.response().setStatusCode(404).end();
                            }
                        })
                .listen(site.adminPort, site.adminHost);
    }

    /**
     * Copies the store to a new folder next to its own. Runs on a worker thread, since the copy
     * takes a while.
     */
    private void snapshot(HttpServerRequest request) {
        String name = request.getParam("name");
        if (name == null || !name.matches("[A-Za-z0-9_-]{1,64}")) {
            request.response()
                    .setStatusCode(400)
                    .end("name: expected 1 to 64 letters, digits, - and _\n");
            return;
        }
        Path target =
                site.batchSettings
                        .folder
                        .resolveSibling(site.batchSettings.folder.getFileName() + ".snapshots")
                        .resolve(name);
        vertx.executeBlocking(
                        () -> {
                            batchService.snapshot(target);
                            return target;
                        },
                        false)
                .onSuccess(done -> request.response().end(done + "\n"))
                .onFailure(e -> request.response().setStatusCode(500).end(e.getMessage() + "\n"));
    }

    private static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }

    /** The port of each router, in order; all are the same if the routers share one. */
    public List<Integer> ports() {
        return verticles.stream().map(verticle -> verticle.server.actualPort()).toList();
    }

    /** The port of the batch API. */
    public int batchPort() {
        return batchService.port();
    }

    /** The registry of all metrics. */
    public PrometheusMeterRegistry metricsRegistry() {
        return registry;
    }

    /** Number of usage records written to disk since the start; 0 without a ledger. */
    public long ledgerRecordsWritten() {
        return ledger == null ? 0 : ledger.writtenRecords();
    }

    /** Applies the budgets of a changed site file; its other settings apply at the next start. */
    public void updateBudgets(Site changedSite) {
        routers.forEach(
                router -> router.loop().runOnContext(v -> router.updateBudgets(changedSite)));
        if (site.isLender) {
            adminContext.runOnContext(
                    v -> changedSite.configureBudgets(quotaLender, monotonicMs()));
        }
    }

    /**
     * Shuts down gracefully: open generations may end within the site's shutdown timeout. Returns
     * when everything has stopped.
     */
    public void stop() throws InterruptedException {
        if (stopped) {
            return;
        }
        stopped = true;
        engineListWatcher.stop();
        if (batchService != null) {
            batchService.drain();
        }
        List<Future<Void>> shutdowns = new ArrayList<>();
        for (RouterVerticle verticle : verticles) {
            Promise<Void> ended = Promise.promise();
            verticle.router
                    .loop()
                    .runOnContext(
                            v -> {
                                verticle.server.shutdown(
                                        (long) site.limits.shutdownTimeoutMs + 1000,
                                        TimeUnit.MILLISECONDS);
                                verticle.router.shutDown(ended::tryComplete);
                            });
            shutdowns.add(ended.future());
        }
        try {
            Future.all(shutdowns)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get((long) site.limits.shutdownTimeoutMs + 5000, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.error("not all routers stopped in time", e);
        }
        if (batchService != null) {
            batchService.close();
        }
        try {
            await(vertx.close());
        } catch (ExecutionException | TimeoutException e) {
            LOG.error("the event loops did not close", e);
        }
        counters.close();
        if (ledger != null) {
            ledger.close();
        }
    }

    private static <T> T await(Future<T> future)
            throws InterruptedException, ExecutionException, TimeoutException {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(LIFECYCLE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** One router with its listener, on the event loop to which it is deployed. */
    private final class RouterVerticle extends VerticleBase {
        private final int routerNumber;
        private final List<EngineEntry> initialEngines;
        private Router router;
        private HttpServer server;

        RouterVerticle(int routerNumber, List<EngineEntry> initialEngines) {
            this.routerNumber = routerNumber;
            this.initialEngines = initialEngines;
        }

        @Override
        public Future<?> start() {
            RouterMetrics metrics = new RouterMetrics(registry);
            router =
                    new Router(
                            vertx,
                            site,
                            routerNumber,
                            new CompletionsUpstreamClient(vertx, site.limits),
                            metrics,
                            ledger);
            initialUsage.forEach(
                    (key, total) ->
                            router.restoreUsage(
                                    key.tenant(),
                                    key.product(),
                                    (double) (total.promptTokens() + total.outputTokens())));
            router.endpointsChanged(initialEngines);
            routers.add(router);
            server =
                    vertx.createHttpServer(
                            new HttpServerOptions()
                                    .setMaxHeaderSize(site.limits.maxHeaderBytes)
                                    .setMaxInitialLineLength(4096)
                                    .setIdleTimeout((int) site.limits.idleConnectionTimeoutMs)
                                    .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                                    .setTcpNoDelay(true)
                                    .setHttp2ClearTextEnabled(true)
                                    .setAcceptBacklog(4096));
            int[] openConnections = new int[1];
            server.connectionHandler(
                    connection -> {
                        if (++openConnections[0] > site.limits.maxConnections) {
                            connection.close();
                        }
                        connection.closeHandler(closed -> openConnections[0]--);
                    });
            server.requestHandler(new MessagesEndpoint(router, counters));
            server.invalidRequestHandler(
                    io.vertx.core.http.HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER);
            int port =
                    site.port == 0 ? 0 : site.portPerRouter ? site.port + routerNumber : site.port;
            return server.listen(port, site.host);
        }
    }
}
