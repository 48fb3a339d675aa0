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
import larchridge.tokens.TokenCounters;
import larchridge.upstream.CompletionsUpstreamClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running service: the fronts of one site file in this process, each on a loop of its own. */
public final class Service {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);
    private static final long START_MS = 20_000;

    private final Vertx vertx;
    private final Site site;
    private final CrashPoints points;
    private final PrometheusMeterRegistry registry = RouterMetrics.registry();
    private final List<Seat> seats = new ArrayList<>();

    /** What each front is told of lists; a list goes to all, each on its own loop. */
    private final List<Router> fronts = new CopyOnWriteArrayList<>();

    private boolean stopped;
    private HttpServer admin;
    private Ledger ledger;
    private final TokenCounters counters;
    private Map<Ledger.Line, UsageTotal> used = Map.of();
    private EngineListWatcher follower;

    /** Null where no batches are served. */
    private BatchService batch;

    /** Lends what is not in fixed parts; used on the admin listener's loop only. */
    private QuotaLender lender;

    private Context adminLoop;

    private Service(Site site, CrashPoints points) {
        this.site = site;
        this.points = points;
        if (site.seed == 0) {
            // Guards against: with the same chance draws at every front, fronts that see the same
            // would all
            // choose the same.
            site.seed = System.nanoTime() ^ ProcessHandle.current().pid() << 40;
        }
        counters =
                new TokenCounters(
                        site.limits.countCacheBytes,
                        site.limits.countThreads,
                        site.limits.maxWaitingCounts,
                        site.limits.bytesPerToken);
        RouterMetrics.registerTokenCountCache(
                registry, counters.cache::size, counters.cache::found, counters.cache::missed);
        vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(Math.max(2, site.routers + 1))
                                .setPreferNativeTransport(true));
    }

    /** Starts all fronts; a list that can't be believed keeps the service from starting. */
    public static Service start(Site site)
            throws InvalidEngineListException, LedgerException, InterruptedException {
        return start(site, CrashPoints.NONE);
    }

    /** The same, with a listener at the places where the store writes. */
    public static Service start(Site site, CrashPoints points)
            throws InvalidEngineListException, LedgerException, InterruptedException {
        Service service = new Service(site, points);
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
        follower =
                new EngineListWatcher(
                        site.engineListFile,
                        rows ->
                                fronts.forEach(
                                        front ->
                                                front.loop()
                                                        .runOnContext(
                                                                v ->
                                                                        front.endpointsChanged(
                                                                                rows))));
        List<EngineEntry> first = follower.readInitial();
        if (site.ledgerFolder != null) {
            ledger = Ledger.open(site.ledgerFolder, site.maxWaitingLedgerRecords);
            used = ledger.totals(YearMonth.now(ZoneOffset.UTC));
        }
        for (int i = 0; i < site.routers; i++) {
            Seat seat = new Seat(i, first);
            seats.add(seat);
            await(vertx.deployVerticle((Deployable) seat, new DeploymentOptions()));
        }
        follower.start(vertx, site.engineListPollMs);
        if (site.adminHost != null) {
            adminLoop = vertx.getOrCreateContext();
            Promise<HttpServer> listening = Promise.promise();
            adminLoop.runOnContext(v -> listenToOperators().onComplete(listening));
            admin = await(listening.future());
        }
        if (site.lenderHost != null) {
            int port = site.lenderPort == 0 ? admin.actualPort() : site.lenderPort;
            fronts.forEach(
                    front ->
                            front.loop()
                                    .runOnContext(
                                            v ->
                                                    front.setQuotaClient(
                                                            new LeaseClient(
                                                                    vertx,
                                                                    site.lenderHost,
                                                                    port,
                                                                    site.leaseCallTimeoutMs))));
        }
        if (site.batchSettings != null) {
            try {
                batch = BatchService.start(site, List.copyOf(fronts), counters, registry, points);
            } catch (IOException e) {
                throw new IllegalStateException(e.getMessage(), e);
            }
        }
        LOG.atInfo()
                .addKeyValue("fronts", site.routers)
                .addKeyValue("engines", first.size())
                .addKeyValue("ports", ports())
                .addKeyValue("seed", site.seed)
                .log("serving");
    }

    /** Figures, health and, where this process lends, leases; all on one loop. */
    private Future<HttpServer> listenToOperators() {
        if (site.isLender) {
            lender = new QuotaLender(site.lentShare());
            site.configureBudgets(lender, monotonicMs());
        }
        LeaseEndpoint leases =
                lender == null ? null : new LeaseEndpoint(lender, Service::monotonicMs);
        return vertx.createHttpServer()
                .requestHandler(
                        request -> {
                            if (request.path().equals("/metrics")) {
                                request.response()
                                        .putHeader("content-type", "text/plain; version=0.0.4")
                                        .end(registry.scrape());
                            } else if (request.path().equals("/health")) {
                                request.response().end("ok\n");
                            } else if (batch != null
                                    && request.path().equals("/store/snapshot")
                                    && request.method().equals(HttpMethod.POST)) {
                                snapshot(request);
                            } else if (leases != null
                                    && request.path().equals(LeaseEndpoint.PATH)) {
                                leases.handle(request);
                            } else {
                                request.response().setStatusCode(404).end();
                            }
                        })
                .listen(site.adminPort, site.adminHost);
    }

    /**
     * Copies the store into a new folder beside its own; the copy takes a while and runs elsewhere.
     */
    private void snapshot(HttpServerRequest request) {
        String name = request.getParam("name");
        if (name == null || !name.matches("[A-Za-z0-9_-]{1,64}")) {
            request.response()
                    .setStatusCode(400)
                    .end("name: expected 1 to 64 letters, digits, - and _\n");
            return;
        }
        Path to =
                site.batchSettings
                        .folder
                        .resolveSibling(site.batchSettings.folder.getFileName() + ".snapshots")
                        .resolve(name);
        vertx.executeBlocking(
                        () -> {
                            batch.snapshot(to);
                            return to;
                        },
                        false)
                .onSuccess(done -> request.response().end(done + "\n"))
                .onFailure(e -> request.response().setStatusCode(500).end(e.getMessage() + "\n"));
    }

    private static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }

    /** The port of each front, in their order; with one shared listener all are the same. */
    public List<Integer> ports() {
        return seats.stream().map(seat -> seat.server.actualPort()).toList();
    }

    /** The port of the batch API. */
    public int batchPort() {
        return batch.port();
    }

    public PrometheusMeterRegistry figures() {
        return registry;
    }

    /** Records that are on disk since the start; 0 without a ledger. */
    public long written() {
        return ledger == null ? 0 : ledger.written();
    }

    /** Takes the budgets of a changed site file; the rest of it counts from the next start. */
    public void budgets(Site changed) {
        fronts.forEach(front -> front.loop().runOnContext(v -> front.updateBudgets(changed)));
        if (site.isLender) {
            adminLoop.runOnContext(v -> changed.configureBudgets(lender, monotonicMs()));
        }
    }

    /**
     * Stops as the site file says: what is open may end until the stop time. Returns when all is
     * over.
     */
    public void stop() throws InterruptedException {
        if (stopped) {
            return;
        }
        stopped = true;
        follower.stop();
        if (batch != null) {
            batch.drain();
        }
        List<Future<Void>> ends = new ArrayList<>();
        for (Seat seat : seats) {
            Promise<Void> ended = Promise.promise();
            seat.front
                    .loop()
                    .runOnContext(
                            v -> {
                                seat.server.shutdown(
                                        (long) site.limits.shutdownTimeoutMs + 1000, TimeUnit.MILLISECONDS);
                                seat.front.shutDown(ended::tryComplete);
                            });
            ends.add(ended.future());
        }
        try {
            Future.all(ends)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get((long) site.limits.shutdownTimeoutMs + 5000, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.error("not all fronts came to their end", e);
        }
        if (batch != null) {
            batch.close();
        }
        try {
            await(vertx.close());
        } catch (ExecutionException | TimeoutException e) {
            LOG.error("the loops did not close", e);
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
                .get(START_MS, TimeUnit.MILLISECONDS);
    }

    /** One front with its listener, on the loop it is deployed to. */
    private final class Seat extends VerticleBase {
        private final int number;
        private final List<EngineEntry> first;
        private Router front;
        private HttpServer server;

        Seat(int number, List<EngineEntry> first) {
            this.number = number;
            this.first = first;
        }

        @Override
        public Future<?> start() {
            RouterMetrics meters = new RouterMetrics(registry);
            front =
                    new Router(
                            vertx,
                            site,
                            number,
                            new CompletionsUpstreamClient(vertx, site.limits),
                            meters,
                            ledger);
            used.forEach(
                    (line, total) ->
                            front.restoreUsage(
                                    line.tenant(),
                                    line.product(),
                                    (double) (total.promptTokens() + total.outTokens())));
            front.endpointsChanged(first);
            fronts.add(front);
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
            int[] connections = new int[1];
            server.connectionHandler(
                    connection -> {
                        if (++connections[0] > site.limits.maxConnections) {
                            connection.close();
                        }
                        connection.closeHandler(closed -> connections[0]--);
                    });
            server.requestHandler(new MessagesEndpoint(front, counters));
            server.invalidRequestHandler(
                    io.vertx.core.http.HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER);
            int port = site.port == 0 ? 0 : site.portPerRouter ? site.port + number : site.port;
            return server.listen(port, site.host);
        }
    }
}
