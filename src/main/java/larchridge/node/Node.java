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
 * A router node: owns the event loop on which all its state lives, and its lifecycle from start to
 * shutdown. The parts that serve requests are in {@link NodeComponents}.
 */
final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    /**
     * Pooled buffers are allocated from chunks of 512 KiB, the page size shifted left by the chunk
     * order. Chunks are small because direct memory limits their number.
     */
    private static final int BUFFER_PAGE_BYTES = 8192;

    private static final int BUFFER_CHUNK_ORDER = 6;
    private static final int SMALL_CACHE_SIZE = 64;
    private static final int NORMAL_CACHE_SIZE = 32;

    /**
     * Number of generations that are served as a warm-up before the node reports ready, and the
     * time limit for them. Guards against: warming up all code would keep the node out of service
     * for longer at each restart, while the other nodes carry its load.
     */
    private static final int WARMUP_GENERATIONS = 10;

    private static final double WARMUP_TIMEOUT_MS = 500;

    /**
     * If discovery sends no list within this time, the node serves with the list from its
     * configuration.
     */
    private static final double FIRST_LIST_TIMEOUT_MS = 1500;

    private static final long LOOP_SHUTDOWN_TIMEOUT_MS = 500;
    private static final long LOOP_SHUTDOWN_MAX_WAIT_MS = 1000;

    /** The bits of the seed that are part of the id prefix, and the radix they are written in. */
    private static final long ID_PREFIX_SEED_MASK = 0xFFFFFFFFFFL;

    private static final int ID_PREFIX_RADIX = 36;

    private final NodeConfiguration configuration;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new LoopThreadFactory(this::loopThreadEnded), NioIoHandler.newFactory());
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

    /**
     * Created with the node, like the reload below, so that their classes are loaded while file
     * descriptors are available.
     */
    private final ShutdownSequence shutdown;

    private final ConfigurationReload reload;

    /** Null until built on the event loop, and permanently if building failed. */
    private NodeComponents components;

    private volatile boolean loopFailed;
    private volatile Runnable loopFailureListener = () -> {};

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

    /** Creates a node without starting it. */
    static Node create(Map<String, String> environment) throws InvalidNodeConfigurationException {
        NodeConfiguration configuration = NodeConfigurationReader.read(environment);
        configuration.checkAgainst(environment);
        return new Node(environment, configuration);
    }

    /** Creates and starts a node in this process. */
    static Node open(Map<String, String> environment)
            throws NodeStartException, InterruptedException {
        Node node = create(environment);
        node.start();
        return node;
    }

    /** Returns once the node serves, or immediately if it is shutting down. */
    void start() throws NodeStartException, InterruptedException {
        loop.submit(this::build).await();
        if (shutdown.hasStarted()) {
            return;
        }
        if (components == null) {
            throw new NodeStartException("the node could not be built; see the log for the cause");
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
        // The logged time includes the wait for the agent's first list.
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
     * Waits for the agent's first list: the list in the configuration may be outdated, and the
     * platform holds a node to the agent's list from the first moment of its process.
     */
    private void awaitFirstList() throws InterruptedException {
        CountDownLatch firstList = new CountDownLatch(1);
        loop.execute(
                () ->
                        components
                                .discovery()
                                .whenFirstListReceived(
                                        FIRST_LIST_TIMEOUT_MS, firstList::countDown));
        firstList.await();
    }

    private void build() {
        if (shutdown.hasStarted()) {
            return;
        }
        try {
            components = new NodeAssembler(configuration, allocator, scheduler).build();
        } catch (RuntimeException | Error e) {
            // Errors are caught too: otherwise the thread that starts the node would wait for
            // components that are never built.
            LOG.error("the node could not be built", e);
        }
    }

    /** Reloads the configuration; callable from any thread. */
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
     * Shuts the node down gracefully, from any thread: health checks fail at once, requests are
     * still accepted for a short time, all of them are answered, held states are released, and the
     * node terminates.
     */
    void shutDown() {
        if (!loop.isShuttingDown()) {
            loop.execute(() -> shutdown.start(components));
        }
    }

    /**
     * Sets what runs if an error ends the event loop, on the thread of the loop. The node can't
     * serve any more then, nor complete its start.
     */
    void onLoopFailure(Runnable listener) {
        loopFailureListener = listener;
    }

    /** Whether an error has ended the event loop; callable from any thread. */
    boolean hasLoopFailed() {
        return loopFailed;
    }

    private void loopThreadEnded() {
        if (terminated.getCount() > 0) {
            loopFailed = true;
            terminated.countDown();
            loopFailureListener.run();
        }
    }

    /** Returns once the shutdown is complete, or an error has ended the event loop. */
    void awaitTermination() throws InterruptedException {
        terminated.await();
        group.shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .await(LOOP_SHUTDOWN_MAX_WAIT_MS);
    }

    /** The port on which the node accepts clients. */
    int port() {
        return components.server().port();
    }

    /** The event loop that owns all state. */
    EventLoop loop() {
        return loop;
    }

    /** The components of a started node; must be used on the event loop. */
    NodeComponents components() {
        return components;
    }
}
