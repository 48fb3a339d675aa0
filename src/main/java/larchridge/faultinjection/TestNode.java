package larchridge.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import larchridge.audit.Violations;

/**
 * A node process with its configuration, signals and log. Methods run on the event loop of the test
 * harness unless their comments say otherwise.
 */
final class TestNode {
    /** State of the process as the harness has set it. */
    enum State {
        STARTING,
        UP,
        TERMINATING,
        DOWN
    }

    /** Substrings of the log messages with which a node reports a fault of its own. */
    static final List<String> FAULT_MESSAGES =
            List.of(
                    Violations.MESSAGE,
                    "event loop task failed",
                    "routing policy threw an exception",
                    "could not be submitted to the router",
                    "could not be handled",
                    "OutOfMemoryError");

    private static final int MEMORY_MB = 192;
    private static final int MAX_SOCKETS = 600;
    private static final long SIGNAL_TIMEOUT_SECONDS = 5;

    final int number;
    final int port;
    final TestDiscoveryAgent agent;

    /** Null if there is no C compiler. */
    final SystemCallShim shim;

    private final Path config;
    private final Path log;
    private final String settings;
    private Process process;
    State state = State.DOWN;
    double terminatedMs = Double.NaN;
    int startCount;

    /** The process has exited and a restart is scheduled. */
    boolean restarting;

    TestNode(
            int number,
            int port,
            TestDiscoveryAgent agent,
            SystemCallShim shim,
            Path folder,
            String settings) {
        this.number = number;
        this.port = port;
        this.agent = agent;
        this.shim = shim;
        this.settings = settings;
        config = folder.resolve("node" + number + ".json");
        log = folder.resolve("node" + number + ".log");
    }

    /** Writes the configuration with the current address of the agent. */
    void configure(String listJson) throws IOException {
        Files.writeString(
                config,
                "{\"name\":\"n"
                        + number
                        + "\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\"127.0.0.1:"
                        + agent.port()
                        + "\",\"seed\":\""
                        + Integer.toHexString(1000 * number + startCount)
                        + "\",\"limits\":{\"cores\":1.0,"
                        + "\"memory_mb\":"
                        + MEMORY_MB
                        + ",\"sockets\":"
                        + MAX_SOCKETS
                        + "},\"known\":"
                        + listJson
                        + ",\"settings\":"
                        + settings
                        + "}");
    }

    /** Truncates the configuration file to half of its length. */
    void breakConfiguration() throws IOException {
        String valid = Files.readString(config);
        Files.writeString(config, valid.substring(0, valid.length() / 2));
    }

    void start() throws IOException {
        startCount++;
        state = State.STARTING;
        terminatedMs = Double.NaN;
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        java,
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xss256k",
                        "-Xmx" + MEMORY_MB * 3 / 10 + "m",
                        "-XX:MaxDirectMemorySize=" + MEMORY_MB / 10 + "m",
                        "-XX:ReservedCodeCacheSize=24m",
                        "-XX:MaxMetaspaceSize=48m",
                        "-Djava.net.preferIPv4Stack=true",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "larchridge.cli.Main",
                        "node");
        Map<String, String> environment = builder.environment();
        environment.put("PROXY_CONFIG", config.toString());
        environment.putIfAbsent("LARCHRIDGE_LOG", "DEBUG");
        if (shim != null) {
            shim.addTo(environment);
        }
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void terminate(double nowMs) {
        state = State.TERMINATING;
        terminatedMs = nowMs;
        process.destroy();
    }

    void kill() {
        state = State.DOWN;
        process.destroyForcibly();
    }

    /** Sends a signal by name. Blocks, so it may run on any thread. */
    void sendSignal(String name) {
        if (!isAlive()) {
            return;
        }
        try {
            Process sender =
                    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
            sender.waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new IllegalStateException("could not run the kill command", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the process to exit. Not to be called on the event loop. */
    boolean awaitExit(long ms) throws InterruptedException {
        return process == null || process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    private static boolean reportsFault(String line) {
        return FAULT_MESSAGES.stream().anyMatch(line::contains);
    }

    /**
     * Returns the log lines that report a fault in the node: violated invariants and failed tasks.
     */
    List<String> reportedFaults() throws IOException {
        if (!Files.exists(log)) {
            return List.of();
        }
        List<String> faults = new ArrayList<>();
        try (Stream<String> lines =
                Files.lines(log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
            lines.filter(TestNode::reportsFault)
                    .forEach(line -> faults.add("node " + number + ": " + line));
        }
        return faults;
    }
}
