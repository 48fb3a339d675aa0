package larchridge.faultinjection;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.Role;
import larchridge.systemtest.TrafficLog;

/**
 * Runs one script against real node processes and checks the result. Bounded in time, processes and
 * requests; ends by itself.
 */
public final class FaultInjectionRun {
    private static final int ENGINES_PER_RACK = 4;
    private static final double POLL_INTERVAL_MS = 20;
    private static final double STARTUP_TIMEOUT_MS = 30_000;
    private static final double SHUTDOWN_TIMEOUT_MS = 8000;
    private static final int MAX_REPORTED_VIOLATIONS = 200;
    private static final int FIRST_PORT = 18_000;
    private static final int LAST_PORT = 30_000;
    private static final int PORT_STEP = 100;

    final FaultScript script;
    final PlantedFault plantedFault;
    final Path folder;
    final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final ScheduledExecutorService signalExecutor = Executors.newSingleThreadScheduledExecutor();
    final TrafficLog log = new TrafficLog();
    final TestReadStates readStates = new TestReadStates(log);
    final List<TestEngine> engines = new ArrayList<>();
    final List<TestNode> nodes = new ArrayList<>();

    /** Indexed by node, then by engine. */
    final List<List<FaultProxy>> proxies = new ArrayList<>();

    final TestEndpointLists endpointLists;
    final List<String> violations = new ArrayList<>();
    TestClients clients;
    private final Random random;
    private double lastPollMs;
    private double maxLagMs;
    private double startMs;
    private boolean finished;

    /**
     * Creates a run. The planted fault goes wrong outside the nodes on purpose, to show that the
     * checks detect it.
     */
    public FaultInjectionRun(FaultScript script, PlantedFault plantedFault, Path folder) {
        this.script = script;
        this.plantedFault = plantedFault;
        this.folder = folder;
        random = new Random(script.seed() ^ 0x5DEECE66DL);
        endpointLists = new TestEndpointLists(this);
    }

    /**
     * Returns whether the system call shim, which some kinds of faults need, can be compiled here.
     */
    public static boolean canBuildShim(Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        return SystemCallShim.compile(folder) != null;
    }

    public FaultTestResult run() throws IOException, InterruptedException, ExecutionException {
        Files.createDirectories(folder);
        script.write(folder.resolve("script.yaml"));
        try {
            setUp();
            if (!awaitNodesReady()) {
                violations.add(
                        "not all nodes were ready after " + Math.round(STARTUP_TIMEOUT_MS) + " ms");
                return evaluate();
            }
            loop.submit(this::startLoadAndFaults).get();
            TimeUnit.MILLISECONDS.sleep((long) (script.seconds() * 1000));
            loop.submit(() -> finished = true).get();
            // Pending requests receive their responses.
            TimeUnit.MILLISECONDS.sleep(TestSettings.LONGEST_DEADLINE_MS + 1000);
            stopNodes();
            return evaluate();
        } finally {
            nodes.forEach(
                    node -> {
                        if (node.isAlive()) {
                            node.kill();
                        }
                    });
            signalExecutor.shutdownNow();
            group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).await(2000);
        }
    }

    private void setUp() throws IOException, InterruptedException {
        Path library = SystemCallShim.compile(folder);
        for (int i = 0; i < script.readers() + script.writers(); i++) {
            EngineProfile profile =
                    EngineProfile.of(
                            i,
                            i < script.readers() ? Role.READER : Role.WRITER,
                            i % 2 == 0 ? "a" : "b",
                            i / ENGINES_PER_RACK);
            TestEngine engine =
                    new TestEngine(profile, group, log, readStates, script.seed() * 1000 + i);
            engine.ignoresReleases = plantedFault == PlantedFault.RELEASES_IGNORED;
            engine.runsTwice = plantedFault == PlantedFault.RUNS_TWICE;
            engines.add(engine);
        }
        List<TestDiscoveryAgent> agents = new ArrayList<>();
        List<SystemCallShim> shims = new ArrayList<>();
        for (int i = 0; i < script.nodes(); i++) {
            int number = i;
            List<FaultProxy> nodeProxies = new ArrayList<>();
            for (TestEngine engine : engines) {
                nodeProxies.add(
                        new FaultProxy(
                                group,
                                engine.port(),
                                script.seed() * 7919 + i * 100L + engine.number));
            }
            proxies.add(nodeProxies);
            TestDiscoveryAgent agent =
                    new TestDiscoveryAgent(
                            group, endpointLists::index, () -> endpointLists.listJson(number));
            SystemCallShim shim =
                    library == null
                            ? null
                            : SystemCallShim.forNode(library, folder.resolve("shim" + i));
            agents.add(agent);
            shims.add(shim);
        }
        // Ports are chosen after all listeners of the harness are bound, so that none takes one.
        for (int i = 0; i < script.nodes(); i++) {
            nodes.add(
                    new TestNode(
                            i,
                            freeNodePort(i),
                            agents.get(i),
                            shims.get(i),
                            folder,
                            TestSettings.JSON));
        }
        clients =
                new TestClients(
                        group, log, nodes, TestSettings.REQUEST_CLASSES, script.seed() + 17);
        clients.setDropResponses(plantedFault == PlantedFault.ANSWERS_DROPPED);
        for (TestNode node : nodes) {
            node.configure(endpointLists.listJson(node.number));
            node.start();
            endpointLists.recordStart(node);
        }
    }

    /**
     * Returns a free port below the range that the system assigns to outgoing connections; one of
     * these could otherwise take the port while its node is down.
     */
    private static int freeNodePort(int node) throws IOException {
        for (int port = FIRST_PORT + node; port < LAST_PORT; port += PORT_STEP) {
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use; try the next one.
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
    }

    private boolean awaitNodesReady() throws InterruptedException {
        CountDownLatch ready = new CountDownLatch(nodes.size());
        nodes.forEach(
                node ->
                        loop.execute(
                                () ->
                                        pollUntilReady(
                                                node,
                                                log.nowMs() + STARTUP_TIMEOUT_MS,
                                                ready::countDown)));
        return ready.await((long) STARTUP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Polls the health endpoint of a node until it is ready or the deadline has passed. */
    private void pollUntilReady(TestNode node, double deadlineMs, Runnable onReady) {
        new TestHealthCheck(group)
                .check(
                        node.port,
                        up -> {
                            if (up) {
                                node.state = TestNode.State.UP;
                                onReady.run();
                            } else if (log.nowMs() < deadlineMs
                                    && node.state == TestNode.State.STARTING
                                    && !finished) {
                                schedule(100, () -> pollUntilReady(node, deadlineMs, onReady));
                            } else if (!finished && node.state == TestNode.State.STARTING) {
                                violations.add(
                                        "node "
                                                + node.number
                                                + ": not ready "
                                                + Math.round(STARTUP_TIMEOUT_MS)
                                                + " ms after its start");
                            }
                        });
    }

    void schedule(double ms, Runnable task) {
        loop.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        violations.add("a task of the fault injection harness failed: " + e);
                    }
                },
                (long) (Math.max(0, ms) * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private void startLoadAndFaults() {
        startMs = log.nowMs();
        lastPollMs = startMs;
        poll();
        sendNextRequest();
        FaultInjector injector = new FaultInjector(this);
        for (Fault fault : script.faults()) {
            schedule(fault.atMs(), () -> injector.start(fault));
            schedule(fault.endMs(), () -> injector.stop(fault));
        }
        schedule(
                script.seconds() * 1000 - FaultScript.QUIET_SECONDS * 500, injector::checkRecovery);
    }

    /**
     * Runs periodically: detects crashes, restarts nodes that have exited, and measures the lag of
     * the event loop.
     */
    private void poll() {
        double now = log.nowMs();
        maxLagMs = Math.max(maxLagMs, now - lastPollMs - POLL_INTERVAL_MS);
        lastPollMs = now;
        for (TestNode node : nodes) {
            if (node.isAlive()) {
                continue;
            }
            if (node.state == TestNode.State.UP || node.state == TestNode.State.STARTING) {
                violations.add(
                        "node "
                                + node.number
                                + ": the process exited unexpectedly at "
                                + Math.round(now - startMs)
                                + " ms");
            }
            if (node.state != TestNode.State.DOWN) {
                node.state = TestNode.State.DOWN;
            }
            if (!finished && !node.restarting) {
                node.restarting = true;
                schedule(200 + random.nextInt(500), () -> restart(node));
            }
        }
        if (!finished) {
            schedule(POLL_INTERVAL_MS, this::poll);
        }
    }

    private void restart(TestNode node) {
        node.restarting = false;
        if (finished) {
            return;
        }
        try {
            node.configure(
                    random.nextBoolean()
                            ? endpointLists.listJson(node.number)
                            : endpointLists.previousListJson(node.number));
            node.start();
        } catch (IOException e) {
            violations.add("node " + node.number + ": could not be started: " + e.getMessage());
            return;
        }
        endpointLists.recordStart(node);
        schedule(200, () -> pollUntilReady(node, log.nowMs() + STARTUP_TIMEOUT_MS, () -> {}));
    }

    /** Open loop: the next request is sent whether or not the previous one was answered. */
    private void sendNextRequest() {
        if (finished || log.nowMs() - startMs > script.seconds() * 1000) {
            return;
        }
        clients.send();
        schedule(
                -Math.log(1 - random.nextDouble()) * 1000 / script.perSecond(),
                this::sendNextRequest);
    }

    private void stopNodes() throws InterruptedException, ExecutionException {
        loop.submit(
                        () ->
                                nodes.stream()
                                        .filter(TestNode::isAlive)
                                        .forEach(node -> node.terminate(log.nowMs())))
                .get();
        for (TestNode node : nodes) {
            if (!node.awaitExit((long) SHUTDOWN_TIMEOUT_MS)) {
                violations.add(
                        "node "
                                + node.number
                                + ": still running "
                                + Math.round(SHUTDOWN_TIMEOUT_MS)
                                + " ms after SIGTERM");
            }
        }
    }

    private FaultTestResult evaluate()
            throws IOException, InterruptedException, ExecutionException {
        loop.submit(() -> {}).get();
        Map<Long, EngineProfile> profiles = new HashMap<>();
        engines.forEach(
                engine -> profiles.put(engine.number, engine.profileForChecks(plantedFault)));
        TrafficLog.write(log.events(), folder.resolve("traffic.jsonl"));
        violations.addAll(clients == null ? List.of() : clients.stalledClientViolations());
        violations.addAll(
                TrafficChecker.check(
                        log.events(),
                        endpointLists.notices(),
                        script.nodes(),
                        TrafficChecker.figures(
                                TestSettings.DRAIN_GRACE_MS,
                                TestSettings.RELEASE_MS,
                                TestSettings.trafficClasses(),
                                profiles),
                        maxLagMs));
        for (TestNode node : nodes) {
            violations.addAll(node.reportedFaults());
        }
        Files.write(folder.resolve("faults.txt"), violations);
        List<String> reported =
                List.copyOf(
                        violations.subList(
                                0, Math.min(MAX_REPORTED_VIOLATIONS, violations.size())));
        return new FaultTestResult(
                reported,
                clients == null ? 0 : clients.requests(),
                clients == null ? 0 : clients.completedResponses,
                maxLagMs);
    }
}
