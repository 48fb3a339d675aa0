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
 * Plays one script over real node processes and judges it. Bounded in time, processes and requests;
 * ends by itself.
 */
public final class FaultInjectionRun {
    private static final int RACK_ENGINES = 4;
    private static final double LOOK_MS = 20;
    private static final double START_MS = 30_000;
    private static final double END_MS = 8000;
    private static final int KEPT_LINES = 200;
    private static final int FIRST_PORT = 18_000;
    private static final int LAST_PORT = 30_000;
    private static final int STEP_PORTS = 100;

    final FaultScript script;
    final PlantedFault plant;
    final Path folder;
    final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final ScheduledExecutorService signals = Executors.newSingleThreadScheduledExecutor();
    final TrafficLog log = new TrafficLog();
    final TestReservations states = new TestReservations(log);
    final List<TestEngine> engines = new ArrayList<>();
    final List<TestNode> nodes = new ArrayList<>();

    /** By node, then engine. */
    final List<List<FaultProxy>> links = new ArrayList<>();

    final TestEndpointLists lists;
    final List<String> faults = new ArrayList<>();
    TestClients clients;
    private final Random random;
    private double lookedMs;
    private double lateMs;
    private double startMs;
    private boolean over;

    /**
     * Plant is what goes wrong outside the nodes on purpose, so that the judgement can be judged.
     */
    public FaultInjectionRun(FaultScript script, PlantedFault plant, Path folder) {
        this.script = script;
        this.plant = plant;
        this.folder = folder;
        random = new Random(script.seed() ^ 0x5DEECE66DL);
        lists = new TestEndpointLists(this);
    }

    /** Whether the machine has what the script's troubles need; tells what is missing. */
    public static boolean canShim(Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        return SystemCallShim.build(folder) != null;
    }

    public FaultTestResult run() throws IOException, InterruptedException, ExecutionException {
        Files.createDirectories(folder);
        script.write(folder.resolve("script.yaml"));
        try {
            build();
            if (!awaitReady()) {
                faults.add("not all nodes were ready after " + Math.round(START_MS) + " ms");
                return judge();
            }
            loop.submit(this::begin).get();
            TimeUnit.MILLISECONDS.sleep((long) (script.seconds() * 1000));
            loop.submit(() -> over = true).get();
            // Requests under way get their answers.
            TimeUnit.MILLISECONDS.sleep(TestSettings.LONGEST_DEADLINE_MS + 1000);
            endNodes();
            return judge();
        } finally {
            nodes.forEach(
                    node -> {
                        if (node.isAlive()) {
                            node.kill();
                        }
                    });
            signals.shutdownNow();
            group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).await(2000);
        }
    }

    private void build() throws IOException, InterruptedException {
        Path library = SystemCallShim.build(folder);
        for (int i = 0; i < script.readers() + script.writers(); i++) {
            EngineProfile make =
                    EngineProfile.of(
                            i,
                            i < script.readers() ? Role.READER : Role.WRITER,
                            i % 2 == 0 ? "a" : "b",
                            i / RACK_ENGINES);
            TestEngine engine = new TestEngine(make, group, log, states, script.seed() * 1000 + i);
            engine.ignoresReleases = plant == PlantedFault.RELEASES_IGNORED;
            engine.runsTwice = plant == PlantedFault.RUNS_TWICE;
            engines.add(engine);
        }
        List<TestDiscoveryAgent> agents = new ArrayList<>();
        List<SystemCallShim> shims = new ArrayList<>();
        for (int i = 0; i < script.nodes(); i++) {
            int number = i;
            List<FaultProxy> own = new ArrayList<>();
            for (TestEngine engine : engines) {
                own.add(
                        new FaultProxy(
                                group,
                                engine.port(),
                                script.seed() * 7919 + i * 100L + engine.number));
            }
            links.add(own);
            TestDiscoveryAgent agent =
                    new TestDiscoveryAgent(group, lists::index, () -> lists.text(number));
            SystemCallShim shim =
                    library == null
                            ? null
                            : SystemCallShim.forNode(library, folder.resolve("shim" + i));
            agents.add(agent);
            shims.add(shim);
        }
        // Only now, so that no listener of the rig is given a node's address.
        for (int i = 0; i < script.nodes(); i++) {
            nodes.add(
                    new TestNode(
                            i,
                            nodePort(i),
                            agents.get(i),
                            shims.get(i),
                            folder,
                            TestSettings.JSON));
        }
        clients = new TestClients(group, log, nodes, TestSettings.CLASSES, script.seed() + 17);
        clients.dropsAnswers(plant == PlantedFault.ANSWERS_DROPPED);
        for (TestNode node : nodes) {
            node.configure(lists.text(node.number));
            node.start();
            lists.started(node);
        }
    }

    /**
     * A free port below those that the system gives to outgoing connections, which would take it
     * while its node is down.
     */
    private static int nodePort(int node) throws IOException {
        for (int port = FIRST_PORT + node; port < LAST_PORT; port += STEP_PORTS) {
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is taken: the next one is tried.
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
    }

    private boolean awaitReady() throws InterruptedException {
        CountDownLatch ready = new CountDownLatch(nodes.size());
        nodes.forEach(
                node -> loop.execute(() -> awaitUp(node, log.nowMs() + START_MS, ready::countDown)));
        return ready.await((long) START_MS, TimeUnit.MILLISECONDS);
    }

    /** Asks a node until it can serve, or its time is up. */
    private void awaitUp(TestNode node, double untilMs, Runnable then) {
        new TestHealthCheck(group)
                .isUp(
                        node.port,
                        up -> {
                            if (up) {
                                node.state = TestNode.State.UP;
                                then.run();
                            } else if (log.nowMs() < untilMs
                                    && node.state == TestNode.State.STARTING
                                    && !over) {
                                in(100, () -> awaitUp(node, untilMs, then));
                            } else if (!over && node.state == TestNode.State.STARTING) {
                                faults.add(
                                        "node "
                                                + node.number
                                                + ": not ready "
                                                + Math.round(START_MS)
                                                + " ms after its start");
                            }
                        });
    }

    void in(double ms, Runnable step) {
        loop.schedule(
                () -> {
                    try {
                        step.run();
                    } catch (RuntimeException e) {
                        faults.add("the rig itself failed: " + e);
                    }
                },
                (long) (Math.max(0, ms) * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private void begin() {
        startMs = log.nowMs();
        lookedMs = startMs;
        look();
        request();
        FaultInjector player = new FaultInjector(this);
        for (Fault trouble : script.troubles()) {
            in(trouble.atMs(), () -> player.begin(trouble));
            in(trouble.endMs(), () -> player.end(trouble));
        }
        in(script.seconds() * 1000 - FaultScript.CALM_S * 500, player::lastLook);
    }

    /** The regular look: crashes, ends of nodes that were told to end, the rig's own lateness. */
    private void look() {
        double now = log.nowMs();
        lateMs = Math.max(lateMs, now - lookedMs - LOOK_MS);
        lookedMs = now;
        for (TestNode node : nodes) {
            if (node.isAlive()) {
                continue;
            }
            if (node.state == TestNode.State.UP || node.state == TestNode.State.STARTING) {
                faults.add(
                        "node "
                                + node.number
                                + ": the process ended by itself at "
                                + Math.round(now - startMs)
                                + " ms");
            }
            if (node.state != TestNode.State.DOWN) {
                node.state = TestNode.State.DOWN;
            }
            if (!over && !node.restarting) {
                node.restarting = true;
                in(200 + random.nextInt(500), () -> restart(node));
            }
        }
        if (!over) {
            in(LOOK_MS, this::look);
        }
    }

    private void restart(TestNode node) {
        node.restarting = false;
        if (over) {
            return;
        }
        try {
            node.configure(
                    random.nextBoolean() ? lists.text(node.number) : lists.older(node.number));
            node.start();
        } catch (IOException e) {
            faults.add("node " + node.number + ": can't be started: " + e.getMessage());
            return;
        }
        lists.started(node);
        in(200, () -> awaitUp(node, log.nowMs() + START_MS, () -> {}));
    }

    /** Open loop: the next request comes whether or not the last one was answered. */
    private void request() {
        if (over || log.nowMs() - startMs > script.seconds() * 1000) {
            return;
        }
        clients.send();
        in(-Math.log(1 - random.nextDouble()) * 1000 / script.perSecond(), this::request);
    }

    private void endNodes() throws InterruptedException, ExecutionException {
        loop.submit(
                        () ->
                                nodes.stream()
                                        .filter(TestNode::isAlive)
                                        .forEach(node -> node.terminate(log.nowMs())))
                .get();
        for (TestNode node : nodes) {
            if (!node.awaitEnd((long) END_MS)) {
                faults.add(
                        "node "
                                + node.number
                                + ": still there "
                                + Math.round(END_MS)
                                + " ms after the word to end");
            }
        }
    }

    private FaultTestResult judge() throws IOException, InterruptedException, ExecutionException {
        loop.submit(() -> {}).get();
        Map<Long, EngineProfile> makes = new HashMap<>();
        engines.forEach(engine -> makes.put(engine.number, engine.judgedMake(plant)));
        TrafficLog.write(log.events(), folder.resolve("traffic.jsonl"));
        faults.addAll(clients == null ? List.of() : clients.stoppedTooLong());
        faults.addAll(
                TrafficJudge.judge(
                        log.events(),
                        lists.told(),
                        script.nodes(),
                        TrafficJudge.figures(
                                TestSettings.DRAIN_GRACE_MS,
                                TestSettings.RELEASE_MS,
                                TestSettings.products(),
                                makes),
                        lateMs));
        for (TestNode node : nodes) {
            faults.addAll(node.faults());
        }
        Files.write(folder.resolve("faults.txt"), faults);
        List<String> kept = List.copyOf(faults.subList(0, Math.min(KEPT_LINES, faults.size())));
        return new FaultTestResult(
                kept,
                clients == null ? 0 : clients.requests(),
                clients == null ? 0 : clients.answeredWhole,
                lateMs);
    }
}
