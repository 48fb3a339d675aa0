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
    private static final double TAKE_OVER_MS = 500;
    private static final double LOOK_MS = 100;
    private static final int MOST_CONNECTIONS = 1024;
    private static final long OPEN_MS = 20_000;

    private final Site site;
    private final BatchSettings terms;
    private final List<Router> fronts;
    private final TokenCounters counters;
    private final CrashPoints points;
    private final ThreadEventLoop loop = new ThreadEventLoop();
    private final Server server;
    private final ServerConnector connector;
    private volatile Store store;
    private volatile Batches batches;
    private boolean told;
    private boolean stopping;

    private BatchService(
            Site site, List<Router> fronts, TokenCounters counters, CrashPoints points) {
        this.site = site;
        this.fronts = fronts;
        this.counters = counters;
        this.points = points;
        terms = site.batchSettings;
        QueuedThreadPool threads = new QueuedThreadPool(terms.requestThreads + 4, 4, 60_000);
        threads.setName("batch-api");
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setRequestHeaderSize(site.limits.maxHeaderBytes);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(terms.host);
        connector.setPort(terms.port);
        connector.setIdleTimeout((long) site.limits.idleConnectionTimeoutMs);
        server.addConnector(connector);
        // What waits for a thread is bounded by who may be connected.
        server.addBean(new NetworkConnectionLimit(MOST_CONNECTIONS, connector));
        server.setHandler(new BatchEndpoint(site, this));
    }

    /** Starts the API; the work begins at once, or when the store's owner has gone. */
    public static BatchService start(
            Site site,
            List<Router> fronts,
            TokenCounters counters,
            MeterRegistry registry,
            CrashPoints points)
            throws IOException {
        BatchService service = new BatchService(site, fronts, counters, points);
        service.gauge(registry, "larchridge_batch_lines_out", Batches.Figures::linesOut);
        service.gauge(registry, "larchridge_batch_limit", Batches.Figures::limit);
        service.gauge(registry, "larchridge_batch_falls_a_minute", Batches.Figures::fallsAMinute);
        service.gauge(registry, "larchridge_batches_active", Batches.Figures::active);
        service.gauge(registry, "larchridge_batches_finished", Batches.Figures::finished);
        try {
            service.loop
                    .ask(
                            () -> {
                                service.own();
                                return null;
                            })
                    .get(OPEN_MS, TimeUnit.MILLISECONDS);
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
                            + site.batchSettings.host
                            + ":"
                            + site.batchSettings.port
                            + ": "
                            + e.getMessage(),
                    e);
        }
        return service;
    }

    private void gauge(MeterRegistry registry, String name, ToDoubleFunction<Batches.Figures> of) {
        Gauge.builder(
                        name,
                        () -> {
                            Batches now = batches;
                            return now == null ? 0 : of.applyAsDouble(now.figures());
                        })
                .register(registry);
    }

    private void own() {
        if (stopping) {
            return;
        }
        try {
            Store opened = Store.open(terms.folder, points);
            Batches taken =
                    new Batches(
                            opened,
                            site,
                            new RouterSubmitter(fronts, loop),
                            loop,
                            new BatchPlanner(terms.maxOpenLines),
                            new BatchRetryPolicy(terms.maxAttempts, new Random(site.seed ^ 0xBA7C4L)),
                            new MessagesCodec(site, counters, loop));
            store = opened;
            batches = taken;
            taken.start();
            fronts.forEach(front -> loop.in(LOOK_MS, () -> look(front)));
            LOG.atInfo()
                    .addKeyValue("store", terms.folder)
                    .addKeyValue("epoch", opened.epoch())
                    .log("owns the store");
        } catch (Store.Taken e) {
            if (!told) {
                told = true;
                LOG.info("another process owns the store; this one waits");
            }
            loop.in(TAKE_OVER_MS, this::own);
        } catch (IOException e) {
            LOG.error("the store can't be opened; tried again", e);
            loop.in(10 * TAKE_OVER_MS, this::own);
        }
    }

    /** Asks one front how its other work fares; one question out at a time. */
    private void look(Router front) {
        if (stopping) {
            return;
        }
        front.loop()
                .runOnContext(
                        v -> {
                            LatencySample felt = front.latencySample();
                            loop.execute(
                                    () -> {
                                        batches.felt(felt);
                                        loop.in(LOOK_MS, () -> look(front));
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
        Batches now = batches;
        if (now == null) {
            throw BatchApiException.away("another process of the service owns the store");
        }
        return now;
    }

    /** Copies the store while it is in use. */
    public void snapshot(Path to) throws IOException {
        try {
            loop.ask(
                            () -> {
                                batches().store().snapshot(to);
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
