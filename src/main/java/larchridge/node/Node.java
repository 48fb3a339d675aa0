package larchridge.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One front node: owns the event loop on which all its state lives, and its lifecycle from start to
 * end. What serves stands in {@link NodeComponents}.
 */
final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    /** Buffers come from chunks of 512 KiB, as many as direct memory allows. */
    private static final int BUFFER_PAGE_BYTES = 8192;

    private static final int BUFFER_CHUNK_ORDER = 6;
    private static final int SMALL_CACHE_SIZE = 64;
    private static final int NORMAL_CACHE_SIZE = 32;

    /**
     * Generations that are served as a warm-up before the node says that it can serve, and the time
     * for them. Guards against: a restart in which all code is warmed up leaves the other nodes
     * alone for longer than it is worth.
     */
    private static final int WARMUP_GENERATIONS = 10;

    private static final double WARMUP_TIMEOUT_MS = 500;

    /**
     * Without a list from discovery for this long, a node serves by the one it was started with.
     */
    private static final double FIRST_LIST_TIMEOUT_MS = 1500;

    private static final long LOOP_SHUTDOWN_TIMEOUT_MS = 500;
    private static final long LOOP_SHUTDOWN_MAX_WAIT_MS = 1000;

    /**
     * The bits of the seed that are a part of the prefix of ids, and the radix they are shown in.
     */
    private static final long ID_PREFIX_SEED_MASK = 0xFFFFFFFFFFL;

    private static final int ID_PREFIX_RADIX = 36;

    private final NodeConfiguration configuration;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, WholeMillisecondIoHandler.wrap(NioIoHandler.newFactory()));
    private final EventLoop loop = (EventLoop) group.next();
    private final ByteBufAllocator allocator =
            new PooledByteBufAllocator(
                    true,
                    1,
                    1,
                    BUFFER_PAGE_BYTES,
                    BUFFER_CHUNK_ORDER,
                    SMALL_CACHE_SIZE,
                    NORMAL_CACHE_SIZE,
                    true);
    private final NettyScheduler scheduler;

    /** Both are made at once, so that their classes are loaded while there are descriptors. */
    private final ShutdownSequence shutdown;

    private final ConfigurationReload reload;

    /** Null until it is built on the event loop, and for good where that has failed. */
    private NodeComponents components;

    private Node(Map<String, String> environment, NodeConfiguration configuration) {
        this.configuration = configuration;
        String idPrefix =
                configuration.name()
                        + Long.toString(configuration.seed() & ID_PREFIX_SEED_MASK, ID_PREFIX_RADIX)
                        + "-";
        scheduler = new NettyScheduler(loop, idPrefix);
        shutdown = new ShutdownSequence(scheduler, terminated::countDown);
        reload = new ConfigurationReload(environment, scheduler);
    }

    /** A node that has not been started. */
    static Node create(Map<String, String> environment) throws InvalidNodeConfigurationException {
        NodeConfiguration configuration = NodeConfigurationReader.read(environment);
        configuration.checkAgainst(environment);
        return new Node(environment, configuration);
    }

    /** A started node in this process. */
    static Node open(Map<String, String> environment)
            throws NodeStartException, InterruptedException {
        Node node = create(environment);
        node.start();
        return node;
    }

    /** Returns once the node serves, or at once if it is shutting down. */
    void start() throws NodeStartException, InterruptedException {
        loop.submit(this::build).await();
        if (shutdown.hasStarted()) {
            return;
        }
        if (components == null) {
            throw new NodeStartException("the node could not be built; the log has the cause");
        }
        ListenRetry.listen(
                configuration.listen(),
                (host, port) -> components.server().listen(group, allocator, host, port),
                shutdown::hasStarted);
        if (shutdown.hasStarted()) {
            return;
        }
        long startNanos = System.nanoTime();
        int served = NodeWarmup.run(WARMUP_GENERATIONS, WARMUP_TIMEOUT_MS);
        awaitFirstList();
        loop.submit(components.server()::markReady).await();
        LOG.atInfo()
                .addKeyValue("generations", served)
                .addKeyValue("ms", (System.nanoTime() - startNanos) / 1_000_000)
                .log("warmed up");
        LOG.atInfo()
                .addKeyValue("name", configuration.name())
                .addKeyValue("listen", configuration.listen())
                .log("serving");
    }

    /**
     * What was known at the start may be old, and what the agent has counts as known from the first
     * moment on.
     */
    private void awaitFirstList() throws InterruptedException {
        CountDownLatch updated = new CountDownLatch(1);
        loop.execute(
                () ->
                        components
                                .discovery()
                                .whenFirstUpdated(FIRST_LIST_TIMEOUT_MS, updated::countDown));
        updated.await();
    }

    private void build() {
        if (shutdown.hasStarted()) {
            return;
        }
        try {
            components = new NodeAssembler(configuration, allocator, scheduler).build();
        } catch (RuntimeException | Error e) {
            // An error too: the thread that starts the node would otherwise wait for what nobody
            // builds any more.
            LOG.error("the node could not be built", e);
        }
    }

    /** Reads the configuration again, from any thread. */
    void reload() {
        if (!loop.isShuttingDown()) {
            loop.execute(
                    () -> {
                        if (components != null) {
                            reload.start(components.discovery(), () -> terminated.getCount() == 0);
                        }
                    });
        }
    }

    /**
     * Ends the node gracefully, from any thread: it stops being ready at once, accepts what still
     * comes for a while, answers all of it, releases what is held, and ends.
     */
    void shutDown() {
        if (!loop.isShuttingDown()) {
            loop.execute(() -> shutdown.start(components));
        }
    }

    /** Returns once the shutdown is complete. */
    void awaitTermination() throws InterruptedException {
        terminated.await();
        group.shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .await(LOOP_SHUTDOWN_MAX_WAIT_MS);
    }

    /** The port that clients connect to. */
    int port() {
        return components.server().port();
    }

    /** The event loop that owns all state. */
    EventLoop loop() {
        return loop;
    }

    /** The parts of a started node; to be used on the event loop. */
    NodeComponents components() {
        return components;
    }
}
