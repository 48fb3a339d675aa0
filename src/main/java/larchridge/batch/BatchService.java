package larchridge.batch;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.ToDoubleFunction;
import larchridge.messages.MessageBodies;
import larchridge.planner.BatchPlanner;
import larchridge.planner.BatchRetryPolicy;
import larchridge.planner.LatencySample;
import larchridge.router.Router;
import larchridge.site.BatchSettings;
import larchridge.site.Site;
import larchridge.store.CrashPoints;
import larchridge.store.Store;
import larchridge.tokens.TokenCounters;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The batch API of one process, beside its fronts. One process of those that share a store owns it
 * and does its work; the others answer 503 and take over within a second of its death.
 */
public final class BatchService {
    private static final Logger LOG = LoggerFactory.getLogger(BatchService.class);
    private static final double OWNERSHIP_RETRY_MS = 500;
    private static final double LATENCY_SAMPLE_INTERVAL_MS = 100;
    private static final int MAX_CONNECTIONS = 1024;
    private static final long STORE_OPEN_TIMEOUT_MS = 20_000;

    private final Site site;
    private final BatchSettings settings;
    private final List<Router> routers;
    private final TokenCounters tokenCounters;
    private final CrashPoints crashPoints;
    private final ThreadEventLoop loop = new ThreadEventLoop();
    private final Server server;
    private final ServerConnector connector;
    private volatile Store store;
    private volatile Batches batches;
    private boolean waitLogged;
    private boolean stopping;

    private BatchService(
            Site site, List<Router> routers, TokenCounters tokenCounters, CrashPoints crashPoints) {
        this.site = site;
        this.routers = routers;
        this.tokenCounters = tokenCounters;
        this.crashPoints = crashPoints;
        settings = site.batch;
        QueuedThreadPool threads = new QueuedThreadPool(settings.threads + 4, 4, 60_000);
        threads.setName("batch-api");
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration httpConfiguration = new HttpConfiguration();
        httpConfiguration.setSendServerVersion(false);
        httpConfiguration.setRequestHeaderSize(site.limit.headerBytes);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfiguration));
        connector.setHost(settings.host);
        connector.setPort(settings.port);
        connector.setIdleTimeout((long) site.limit.idleConnectionMs);
        server.addConnector(connector);
        // What waits for a thread is bounded by who may be connected.
        server.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, connector));
        server.setHandler(new BatchEndpoint(site, this));
    }

    /** Starts the API; the work begins at once, or when the store's owner has gone. */
    public static BatchService start(
            Site site,
            List<Router> routers,
            TokenCounters tokenCounters,
            MeterRegistry registry,
            CrashPoints crashPoints)
            throws IOException {
        BatchService service = new BatchService(site, routers, tokenCounters, crashPoints);
        service.registerGauge(registry, "larchridge_batch_lines_out", Batches.Stats::openLines);
        service.registerGauge(registry, "larchridge_batch_limit", Batches.Stats::lineLimit);
        service.registerGauge(
                registry,
                "larchridge_batch_falls_a_minute",
                Batches.Stats::limitDecreasesPerMinute);
        service.registerGauge(registry, "larchridge_batches_active", Batches.Stats::activeCount);
        service.registerGauge(
                registry, "larchridge_batches_finished", Batches.Stats::finishedCount);
        try {
            service.loop
                    .call(
                            () -> {
                                service.acquireStore();
                                return null;
                            })
                    .get(STORE_OPEN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.warn("the store takes long to open; the batch API answers 503 until then");
        } catch (ExecutionException e) {
            throw new IOException(
                    "the store can't be opened: " + e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            service.server.start();
        } catch (Exception e) {
            throw new IOException(
                    "the batch API can't listen on "
                            + site.batch.host
                            + ":"
                            + site.batch.port
                            + ": "
                            + e.getMessage(),
                    e);
        }
        return service;
    }

    private void registerGauge(
            MeterRegistry registry, String name, ToDoubleFunction<Batches.Stats> value) {
        Gauge.builder(
                        name,
                        () -> {
                            Batches current = batches;
                            return current == null ? 0 : value.applyAsDouble(current.stats());
                        })
                .register(registry);
    }

    private void acquireStore() {
        if (stopping) {
            return;
        }
        try {
            Store openedStore = Store.open(settings.folder, crashPoints);
            Batches newBatches =
                    new Batches(
                            openedStore,
                            site,
                            new RouterSubmitter(routers, loop),
                            loop,
                            new BatchPlanner(settings.openLines),
                            new BatchRetryPolicy(
                                    settings.attempts, new Random(site.seed ^ 0xBA7C4L)),
                            new MessageBodies(site, tokenCounters, loop));
            store = openedStore;
            batches = newBatches;
            newBatches.start();
            routers.forEach(
                    router ->
                            loop.schedule(
                                    LATENCY_SAMPLE_INTERVAL_MS, () -> sampleLatency(router)));
            LOG.atInfo()
                    .addKeyValue("store", settings.folder)
                    .addKeyValue("epoch", openedStore.epoch())
                    .log("owns the store");
        } catch (Store.Taken e) {
            if (!waitLogged) {
                waitLogged = true;
                LOG.info("another process owns the store; this one waits");
            }
            loop.schedule(OWNERSHIP_RETRY_MS, this::acquireStore);
        } catch (IOException e) {
            LOG.error("the store can't be opened; tried again", e);
            loop.schedule(10 * OWNERSHIP_RETRY_MS, this::acquireStore);
        }
    }

    /** Asks one front how its other work fares; one question out at a time. */
    private void sampleLatency(Router router) {
        if (stopping) {
            return;
        }
        router.loop()
                .runOnContext(
                        v -> {
                            LatencySample sample = router.latencySample();
                            loop.execute(
                                    () -> {
                                        batches.addLatencySample(sample);
                                        loop.schedule(
                                                LATENCY_SAMPLE_INTERVAL_MS,
                                                () -> sampleLatency(router));
                                    });
                        });
    }

    public int port() {
        return connector.getLocalPort();
    }

    double nowMs() {
        return loop.nowMs();
    }

    ThreadEventLoop loop() {
        return loop;
    }

    Store store() throws BatchApiException {
        batches();
        return store;
    }

    Batches batches() throws BatchApiException {
        Batches current = batches;
        if (current == null) {
            throw BatchApiException.unavailable("another process of the service owns the store");
        }
        return current;
    }

    /** Copies the store while it is in use. */
    public void snapshot(Path destination) throws IOException {
        try {
            loop.call(
                            () -> {
                                batches().store().snapshot(destination);
                                return null;
                            })
                    .get(10, TimeUnit.MINUTES);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("no snapshot: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("stopping", e);
        }
    }

    /** Nothing new comes in or goes out; lines that are out may end while their fronts do. */
    public void drain() throws InterruptedException {
        try {
            server.stop();
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            LOG.error("the batch API did not stop well", e);
        }
        loop.execute(
                () -> {
                    stopping = true;
                    if (batches != null) {
                        batches.stop();
                    }
                });
    }

    /** The end, after the fronts': what came back by then is on disk. */
    public void close() throws InterruptedException {
        loop.close();
        if (store != null) {
            store.close();
        }
    }
}
