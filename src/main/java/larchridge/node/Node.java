package larchridge.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import larchridge.inventory.EngineEntry;
import larchridge.metrics.RouterMetrics;
import larchridge.node.discovery.DiscoveryClient;
import larchridge.node.discovery.EndpointListReader;
import larchridge.node.server.HttpServer;
import larchridge.node.server.ServerDependencies;
import larchridge.node.server.ServerLimits;
import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.node.upstream.UpstreamLimits;
import larchridge.policy.RoutingPolicy;
import larchridge.router.Router;
import larchridge.site.Site;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * One front as a node of a platform: puts the clients' side, the engines' side and the engine list
 * together on one loop, and answers the platform's signals.
 */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    /**
     * Parts of the descriptors that connections of clients and to engines may take; the rest is
     * kept back.
     */
    private static final double CLIENTS_PART = 0.42;

    private static final double ENGINES_PART = 0.45;

    /** Buffers come from chunks of 512 KiB, as many as direct memory allows. */
    private static final int PAGE_BYTES = 8192;

    private static final int CHUNK_ORDER = 6;
    private static final int BODY_BYTES = 256 << 10;

    /**
     * The part of the memory that bodies may take, and what is reckoned for one open generation
     * beside.
     */
    private static final double BODIES_PART = 0.2;

    private static final int OPEN_BYTES = 16 << 10;
    private static final double REQUEST_MS = 2000;

    /**
     * A client that stops in the middle is owed its error 3 s after it connected; the rest is for
     * the look that sees it.
     */
    private static final double WHOLE_REQUEST_MS = 2600;

    /**
     * A client has this long to read an answer and end its side, before what it still sends ends
     * the connection.
     */
    private static final double LINGER_MS = 1000;

    /** Nobody is left waiting on a stream for longer, though the platform allows a little more. */
    private static final double QUIET_MS = 4500;

    private static final double SLOW_CLIENT_MS = 4500;

    /**
     * Generations that are rehearsed before the node says that it can serve, and the time for it.
     * Guards against: a restart in which all code is warmed up leaves the other nodes alone for
     * longer than it is worth.
     */
    private static final int REHEARSED = 10;

    private static final double REHEARSAL_MS = 500;

    /** An address that is taken is tried again after a pause, for so long in all. */
    private static final long LISTEN_AGAIN_MS = 50;

    private static final long LISTEN_MS = 15_000;

    /** Without a list from discovery for so long, a node serves by the one it was started with. */
    private static final double FIRST_LIST_MS = 1500;

    private static final double PICTURE_MS = 1000;

    /**
     * For so long after the word to end, clients may still come. What comes later than 0.7 s after
     * it must not be found under way when the process is killed; the word itself may be handled
     * 0.15 s late.
     */
    private static final double COMING_MS = 500;

    /**
     * A configuration that can't be read is read again after a pause that doubles, for so long in
     * all.
     */
    private static final double READ_AGAIN_MS = 100;

    private static final double READ_AGAIN_MOST_MS = 2000;
    private static final double READ_AGAIN_FOR_MS = 60_000;

    private final Map<String, String> variables;
    private final NodeConfiguration file;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, WholeMillisecondIoHandler.around(NioIoHandler.newFactory()));
    private final EventLoop loop = (EventLoop) group.next();
    private final ByteBufAllocator buffers =
            new PooledByteBufAllocator(true, 1, 1, PAGE_BYTES, CHUNK_ORDER, 64, 32, true);
    private final NettyScheduler ground;
    private NodeAudit audit;
    private ForwardingUpstreamClient link;
    private Router front;
    private HttpServer door;
    private DiscoveryClient discoveryClient;

    /** Set on the loop; the thread that starts the node looks at it. */
    private volatile boolean ending;

    /**
     * Signals for a new configuration so far; a newer one takes the place of one whose file can't
     * be read yet.
     */
    private int configurations;

    private Node(Map<String, String> variables, NodeConfiguration file) {
        this.variables = variables;
        this.file = file;
        ground =
                new NettyScheduler(
                        loop, file.name + Long.toString(file.seed & 0xFFFFFFFFFFL, 36) + "-");
    }

    /** Runs a node until it is told to end; gives the exit code. */
    public static int run(Map<String, String> variables, PrintStream faults) {
        try {
            Node node = make(variables);
            // In place before anything slow: without them these signals would end the process.
            Signal.handle(new Signal("TERM"), signal -> node.end());
            Signal.handle(new Signal("HUP"), signal -> node.readAgain());
            node.start();
            node.awaitEnd();
            return 0;
        } catch (InvalidNodeConfigurationException e) {
            faults.println("larchridge: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        } catch (RuntimeException | Error e) {
            // Without this the thread would end and the loop go on: a process that neither serves
            // nor ends.
            LOG.error("the node could not be started", e);
            return 1;
        }
    }

    /**
     * Starts and ends a node that serves nobody, so that the classes that nodes use can be
     * archived.
     */
    public static int rehearse() {
        try {
            Path file = Files.createTempFile("larchridge-rehearsal", ".json");
            try {
                Files.writeString(
                        file,
                        "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                                + "\"seed\":\"1\",\"limits\":{\"cores\":1,\"memory_mb\":192,\"sockets\":256},"
                                + "\"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]},\"settings\":"
                                + NodeWarmup.TERMS
                                + "}");
                Node node = open(Map.of("PROXY_CONFIG", file.toString()));
                node.end();
                node.awaitEnd();
            } finally {
                Files.delete(file);
            }
            return 0;
        } catch (InvalidNodeConfigurationException | IOException e) {
            throw new IllegalStateException("a rehearsal needs a temporary folder and loopback", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    /** A node that is not run as a process of its own. */
    static Node open(Map<String, String> variables)
            throws InvalidNodeConfigurationException, InterruptedException {
        Node node = make(variables);
        node.start();
        return node;
    }

    /** A node that has not been started. */
    static Node make(Map<String, String> variables) throws InvalidNodeConfigurationException {
        NodeConfiguration file = NodeConfiguration.read(variables);
        file.check(variables);
        return new Node(variables, file);
    }

    int port() {
        return door.port();
    }

    /**
     * The loop that owns all state; tests hold it so that several things have come when it goes on.
     */
    EventLoop loop() {
        return loop;
    }

    /** Client connections; on any thread, as of a moment. */
    int connections() throws InterruptedException, ExecutionException {
        return loop.submit(door::connectionCount).get();
    }

    /** Engines on the list; on any thread, as of a moment. */
    int engines() throws InterruptedException, ExecutionException {
        return loop.submit(
                        () -> {
                            int[] count = new int[1];
                            front.forEachEngine((endpoint, engine) -> count[0]++);
                            return count[0];
                        })
                .get();
    }

    /** Requests that the engines' side still knows; on any thread, as of a moment. */
    int openRequests() throws InterruptedException, ExecutionException {
        return loop.submit(link::openRequests).get();
    }

    /** Violations of invariants so far; on any thread. */
    long violations() {
        return audit == null ? 0 : audit.violationsSoFar();
    }

    /** Attempts out by the module's count, or -1 if the link's count differs at any engine. */
    int attemptsOut() throws InterruptedException, ExecutionException {
        return loop.submit(
                        () -> {
                            int[] attempts = new int[1];
                            front.forEachEngine(
                                    (endpoint, engine) -> {
                                        boolean same =
                                                engine.attempts().size()
                                                        == link.inFlightAttempts(endpoint);
                                        attempts[0] =
                                                same && attempts[0] >= 0
                                                        ? attempts[0] + engine.attempts().size()
                                                        : -1;
                                    });
                            return attempts[0];
                        })
                .get();
    }

    void awaitEnd() throws InterruptedException {
        ended.await();
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).await(1000);
    }

    void start() throws InvalidNodeConfigurationException, InterruptedException {
        loop.submit(this::build).await();
        if (ending) {
            return;
        }
        if (door == null) {
            throw new InvalidNodeConfigurationException(
                    "the node could not be built; the log has the cause");
        }
        listen();
        if (ending) {
            return;
        }
        long start = System.nanoTime();
        int served = NodeWarmup.play(REHEARSED, REHEARSAL_MS);
        // What was known at the start may be old, and what the agent has counts as told from the
        // first moment on.
        CountDownLatch told = new CountDownLatch(1);
        loop.execute(() -> discoveryClient.whenFirstUpdated(FIRST_LIST_MS, told::countDown));
        told.await();
        loop.submit(door::markReady).await();
        LOG.atInfo()
                .addKeyValue("generations", served)
                .addKeyValue("ms", (System.nanoTime() - start) / 1_000_000)
                .log("rehearsed");
        LOG.atInfo()
                .addKeyValue("name", file.name)
                .addKeyValue("listen", file.listen)
                .log("serving");
    }

    /**
     * The address may still be held by the process before this one, which has been killed and has
     * not gone yet.
     */
    private void listen() throws InvalidNodeConfigurationException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LISTEN_MS);
        while (!ending) {
            try {
                door.listen(group, buffers, file.listen.host(), file.listen.port());
                return;
            } catch (IOException e) {
                if (System.nanoTime() > endNanos) {
                    throw new InvalidNodeConfigurationException(
                            "listen: " + file.listen + " can't be had (" + e.getMessage() + ")");
                }
                LOG.atDebug()
                        .addKeyValue("fault", e.getMessage())
                        .log("the address can't be had yet");
                TimeUnit.MILLISECONDS.sleep(LISTEN_AGAIN_MS);
            }
        }
    }

    private void build() {
        if (ending) {
            return;
        }
        try {
            Site site = Site.plain(file.given.routing());
            double heap = (double) Runtime.getRuntime().maxMemory();
            long bodies = (long) (Math.min(heap, file.memoryMb * 1048576.0) * BODIES_PART);
            site.releaseMs = file.given.releaseMs();
            site.drainGraceMs = file.given.drainGraceMs();
            site.limit.openGenerations = (int) Math.max(16, bodies / OPEN_BYTES);
            site.limit.slowClientMs = SLOW_CLIENT_MS;
            site.limit.quietStreamMs = QUIET_MS;
            site.limit.stopMs = 10 * longestPatienceMs();
            audit = new NodeAudit(ground, file.given);
            RouterMetrics meters = audit.meters();
            link =
                    new ForwardingUpstreamClient(
                            loop,
                            ground,
                            buffers,
                            new UpstreamLimits(
                                    file.given.connectMs(),
                                    file.given.keepAliveMs(),
                                    file.given.releaseMs(),
                                    (int) (file.sockets * ENGINES_PART),
                                    (int) (file.sockets * ENGINES_PART / 2),
                                    file.given.reportFields()),
                            audit.events());
            front = new Router(ground, site, 0, link, meters, RoutingPolicy::new);
            audit.compareCounts(ground, front, link);
            door =
                    new HttpServer(
                            new ServerDependencies(
                                    ground,
                                    front,
                                    site,
                                    file.given.trafficClasses().values(),
                                    new ServerLimits(
                                            (int) (file.sockets * CLIENTS_PART),
                                            BODY_BYTES,
                                            bodies,
                                            REQUEST_MS,
                                            WHOLE_REQUEST_MS,
                                            file.given.keepAliveMs(),
                                            LINGER_MS),
                                    audit.events(),
                                    meters));
            EndpointListReader reader =
                    new EndpointListReader(file.given.roles(), file.given.memoryTokens());
            discoveryClient =
                    new DiscoveryClient(
                            loop,
                            buffers,
                            ground,
                            reader,
                            file.given.drainGraceMs(),
                            this::endpointsChanged);
            if (file.known.isObject()) {
                try {
                    discoveryClient.take(reader.read(file.known));
                } catch (EndpointListReader.BadList e) {
                    LOG.atWarn()
                            .addKeyValue("fault", e.getMessage())
                            .log("known can't be read; discovery is waited for");
                }
            }
            discoveryClient.follow(file.discovery.host(), file.discovery.port());
            if (LOG.isDebugEnabled()) {
                ground.scheduleAtFixedDelay(PICTURE_MS, () -> LOG.debug("{}", picture()));
            }
        } catch (RuntimeException | Error e) {
            // An error too: the thread that starts the node would else wait for what nobody makes
            // any more.
            LOG.error("the node could not be built", e);
            door = null;
        }
    }

    /**
     * The module's picture of each engine beside what the link has there: attempts, tokens, mode;
     * flights, connections.
     */
    private String picture() {
        StringBuilder text = new StringBuilder(200);
        double now = ground.nowMs();
        text.append("open ")
                .append(front.generationsInFlight())
                .append(" clients ")
                .append(door.connectionCount())
                .append(" known ")
                .append(link.openRequests());
        front.forEachEngine(
                (endpoint, engine) -> {
                    text.append("; ")
                            .append(Long.toHexString(engine.id >>> 48))
                            .append(' ')
                            .append(engine.role())
                            .append(' ')
                            .append(engine.state())
                            .append(engine.isEjected(now) ? " ejected" : "")
                            .append(" attempts ")
                            .append(engine.attempts().size())
                            .append(" unread ")
                            .append(Math.round(engine.unreadTokens()))
                            .append(" writes ")
                            .append(Math.round(engine.writeTokens()))
                            .append(" out ")
                            .append(link.inFlightAttempts(endpoint))
                            .append(" connections ")
                            .append(link.connectionCount(endpoint));
                });
        return text.toString();
    }

    private double longestPatienceMs() {
        return file.given.clientTimeoutMs().values().stream().mapToDouble(ms -> ms).max().orElse(0);
    }

    private void endpointsChanged(List<EngineEntry> rows) {
        List<Endpoint> spots = new ArrayList<>();
        rows.forEach(row -> spots.add(new Endpoint(row.host(), row.port())));
        link.updateEndpoints(spots);
        audit.listed(rows);
        front.endpointsChanged(rows);
    }

    // ------------------------------------------------------------------ signals

    /**
     * A new configuration: where discovery is may have changed. What can't be read changes nothing.
     */
    void readAgain() {
        if (!loop.isShuttingDown()) {
            loop.execute(
                    () ->
                            follow(
                                    ++configurations,
                                    READ_AGAIN_MS,
                                    ground.nowMs() + READ_AGAIN_FOR_MS));
        }
    }

    /**
     * Follows discovery at the address in the file. A file that can't be read now may be half
     * written, or the call for it failed for want of a descriptor: nobody signals again, and the
     * node would stay at an address that no longer answers. So it is read again until it can be, or
     * until a newer signal.
     */
    private void follow(int configuration, double pauseMs, double untilMs) {
        if (discoveryClient == null || configuration != configurations || ended.getCount() == 0) {
            return;
        }
        try {
            NodeConfiguration changed = NodeConfiguration.read(variables);
            LOG.atInfo()
                    .addKeyValue("discovery", changed.discovery)
                    .log("configuration read again");
            discoveryClient.follow(changed.discovery.host(), changed.discovery.port());
        } catch (InvalidNodeConfigurationException e) {
            boolean again = ground.nowMs() + pauseMs < untilMs;
            LOG.atError()
                    .addKeyValue("fault", e.getMessage())
                    .addKeyValue("again", again)
                    .log("the new configuration can't be used; all stays as it was");
            if (again) {
                ground.schedule(
                        pauseMs,
                        () ->
                                follow(
                                        configuration,
                                        Math.min(READ_AGAIN_MOST_MS, 2 * pauseMs),
                                        untilMs));
            }
        }
    }

    /**
     * The end in peace: says at once that it is leaving, takes what still comes for a while,
     * answers all of it, lets go of what is held, and ends.
     */
    void end() {
        if (!loop.isShuttingDown()) {
            loop.execute(this::leave);
        }
    }

    private void leave() {
        if (ending) {
            return;
        }
        ending = true;
        LOG.info("ending");
        if (door == null) {
            // The word to end came before anything was built, and nothing will be.
            ended.countDown();
            return;
        }
        door.startDraining();
        ground.schedule(
                COMING_MS,
                () -> {
                    door.stopAccepting();
                    door.startDraining();
                    front.shutDown(
                            () -> {
                                discoveryClient.stop();
                                // Guards against: the end of the process closes over what clients
                                // still
                                // send, and resets answers on their way.
                                door.startDraining();
                                door.whenNoConnections(
                                        () -> {
                                            audit.atEnd(front, link, door);
                                            ended.countDown();
                                        });
                            });
                });
    }
}
