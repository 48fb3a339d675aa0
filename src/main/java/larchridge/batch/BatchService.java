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
import larchridge.messages.MessagesCodec;
import larchridge.planner.BatchPlanner;
import larchridge.planner.BatchRetryPolicy;
import larchridge.planner.LatencySample;
import larchridge.router.Router;
import larchridge.site.BatchSettings;
import larchridge.site.Site;
import larchridge.store.CrashPoints;
import larchridge.store.Store;
import larchridge.tokens.CountingResources;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The batch API of one process, which runs next to its routers. Of the processes that share a
 * store, one owns the store and runs its batches; the others respond with status 503, and one of
 * them takes over within a second of the owner's death.
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
    private final CountingResources tokenCounters;
    private final CrashPoints crashPoints;
    private final ThreadEventLoop loop = new ThreadEventLoop();
    private final Server server;
    private final ServerConnector connector;
    private volatile Store store;
    private volatile Batches batches;
    private boolean waitLogged;
    private boolean stopping;

    private BatchService(
            Site site,
            List<Router> routers,
            CountingResources tokenCounters,
            CrashPoints crashPoints) {
        this.site = site;
        this.routers = routers;
        this.tokenCounters = tokenCounters;
        this.crashPoints = crashPoints;
        settings = site.batchSettings;
        QueuedThreadPool threads = new QueuedThreadPool(settings.requestThreads + 4, 4, 60_000);
        threads.setName("batch-api");
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration httpConfiguration = new HttpConfiguration();
        httpConfiguration.setSendServerVersion(false);
        httpConfiguration.setRequestHeaderSize(site.limits.maxHeaderBytes);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfiguration));
        connector.setHost(settings.host);
        connector.setPort(settings.port);
        connector.setIdleTimeout((long) site.limits.idleConnectionTimeoutMs);
        server.addConnector(connector);
        // Bounds the number of requests that wait for a thread.
        server.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, connector));
        server.setHandler(new BatchEndpoint(site, this));
    }

    /**
     * Starts the API. Batches run as soon as this process owns the store: at once, or when the
     * current owner has ended.
     */
    public static BatchService start(
            Site site,
            List<Router> routers,
            CountingResources tokenCounters,
            MeterRegistry meters,
            CrashPoints crashPoints)
            throws IOException {
        BatchService service = new BatchService(site, routers, tokenCounters, crashPoints);
        service.registerGauge(meters, "larchridge_batch_lines_out", Batches.Stats::openLines);
        service.registerGauge(meters, "larchridge_batch_limit", Batches.Stats::lineLimit);
        service.registerGauge(
                meters, "larchridge_batch_falls_a_minute", Batches.Stats::limitDecreasesPerMinute);
        service.registerGauge(meters, "larchridge_batches_active", Batches.Stats::activeCount);
        service.registerGauge(meters, "larchridge_batches_finished", Batches.Stats::finishedCount);
        try {
            service.loop
                    .call(
                            () -> {
                                service.acquireStore();
                                return null;
                            })
                    .get(STORE_OPEN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.warn("the store is not open yet; the batch API responds with 503 until it is");
        } catch (ExecutionException e) {
            throw new IOException(
                    "cannot open the store: " + e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            service.server.start();
        } catch (Exception e) {
            throw new IOException(
                    "the batch API cannot listen on "
                            + site.batchSettings.host
                            + ":"
                            + site.batchSettings.port
                            + ": "
                            + e.getMessage(),
                    e);
        }
        return service;
    }

    private void registerGauge(
            MeterRegistry meters, String name, ToDoubleFunction<Batches.Stats> value) {
        Gauge.builder(
                        name,
                        () -> {
                            Batches current = batches;
                            return current == null ? 0 : value.applyAsDouble(current.stats());
                        })
                .register(meters);
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
                            new BatchPlanner(settings.maxOpenLines),
                            new BatchRetryPolicy(
                                    settings.maxAttempts, new Random(site.seed ^ 0xBA7C4L)),
                            new MessagesCodec(site, tokenCounters, loop));
            store = openedStore;
            batches = newBatches;
            newBatches.start();
            routers.forEach(
                    router ->
                            loop.schedule(LATENCY_SAMPLE_INTERVAL_MS, () -> sampleLatency(router)));
            LOG.atInfo()
                    .addKeyValue("store", settings.folder)
                    .addKeyValue("epoch", openedStore.epoch())
                    .log("opened the store as its owner");
        } catch (Store.InUseException e) {
            if (!waitLogged) {
                waitLogged = true;
                LOG.info("another process owns the store; waiting for it to end");
            }
            loop.schedule(OWNERSHIP_RETRY_MS, this::acquireStore);
        } catch (IOException e) {
            LOG.error("cannot open the store; retrying", e);
            loop.schedule(10 * OWNERSHIP_RETRY_MS, this::acquireStore);
        }
    }

    /**
     * Takes a latency sample of a router's interactive requests periodically; at most one sample
     * per router is pending at a time.
     */
    private void sampleLatency(Router router) {
        if (stopping) {
            return;
        }
        router.loop()
                .runOnContext(
                        v -> {
                            LatencySample sample = router.takeLatencySample();
                            loop.execute(
                                    () -> {
                                        batches.addLatencySample(sample);
                                        loop.schedule(
                                                LATENCY_SAMPLE_INTERVAL_MS,
                                                () -> sampleLatency(router));
                                    });
                        });
    }

    /** The port on which the batch API listens. */
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

    /** Copies the store to a new folder while the store is in use. */
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

    /**
     * Stops the API and starts no more lines. Open lines may still end while their routers shut
     * down.
     */
    public void drain() throws InterruptedException {
        try {
            server.stop();
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            LOG.error("failed to stop the server of the batch API", e);
        }
        loop.execute(
                () -> {
                    stopping = true;
                    if (batches != null) {
                        batches.stop();
                    }
                });
    }

    /**
     * Closes the event loop and the store, after the routers have stopped. The results of lines
     * that have ended by then are on disk.
     */
    public void close() throws InterruptedException {
        loop.close();
        if (store != null) {
            store.close();
        }
    }
}
