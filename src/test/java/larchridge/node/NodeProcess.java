package larchridge.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import larchridge.node.NodeFixture.Actor;
import larchridge.node.NodeFixture.Reply;
import larchridge.node.NodeFixture.Seen;

/**
 * A node in a process of its own, between scripted engines and a scripted discovery agent in this
 * one.
 */
final class NodeProcess implements AutoCloseable {
    private static final long START_NANOS = 30_000_000_000L;

    /**
     * Far more descriptors than the process gets, so that the node's own bounds are not what stops
     * it.
     */
    private static final int PROMISED_DESCRIPTORS = 1000;

    final Actor reader = new Actor(seen -> new Reply(NodeFixture.read(0), true));
    final Actor writer =
            new Actor(
                    seen ->
                            new Reply(
                                    NodeFixture.GOOD
                                            + NodeFixture.chunk(NodeFixture.EVENT + NodeFixture.END)
                                            + "0\r\n\r\n",
                                    true));
    final Actor discovery = new Actor(this::list);
    final int port;
    final Process process;
    private final Path log;
    private final AtomicInteger index = new AtomicInteger(1);

    NodeProcess(Path folder, int descriptors) throws IOException, InterruptedException {
        this(folder, descriptors, freePort());
        awaitReady();
    }

    /** Starts it at an address; whether it gets ready is the caller's affair. */
    NodeProcess(Path folder, int descriptors, int port) throws IOException {
        this.port = port;
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\"127.0.0.1:"
                        + discovery.port()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":256,\"sockets\":"
                        + PROMISED_DESCRIPTORS
                        + "},\"known\":"
                        + wholeList()
                        + ",\"settings\":"
                        + NodeFixture.SETTINGS
                        + "}");
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"",
                        java,
                        "-Xmx96m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "larchridge.cli.Main",
                        "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        log = folder.resolve("node.log");
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + START_NANOS;
        while (System.nanoTime() < end) {
            try (NodeFixture.RawClient client = new NodeFixture.RawClient(port)) {
                client.send(NodeFixture.UP);
                String answer = client.answer();
                if (answer.startsWith("HTTP/1.1 200 ")) {
                    return;
                }
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new IOException(
                            "the node ended at its start: " + Files.readString(log), e);
                }
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new IOException("the node is not ready");
    }

    private String wholeList() {
        return "{\"index\":"
                + index
                + ",\"snapshot\":true,\"endpoints\":["
                + NodeFixture.row("r1", reader.port(), "lectura", "SERVING", 0)
                + ","
                + NodeFixture.row("w1", writer.port(), "redaccion", "SERVING", 0)
                + "]}";
    }

    /**
     * What the agent answers: the whole list at once, a watch once something has changed or its
     * wait is over.
     */
    Reply list(Seen seen) {
        int after =
                seen.target().contains("after=")
                        ? Integer.parseInt(seen.target().replaceAll(".*after=(\\d+).*", "$1"))
                        : 0;
        synchronized (index) {
            long end = System.nanoTime() + 300_000_000L;
            while (index.get() <= after && System.nanoTime() < end) {
                try {
                    index.wait(50);
                } catch (InterruptedException e) {
                    return new Reply(null, false);
                }
            }
        }
        return new Reply(NodeFixture.answer("200 OK", wholeList()), true);
    }

    /** What the process has written so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    void listChanged() {
        synchronized (index) {
            index.incrementAndGet();
            index.notifyAll();
        }
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        reader.close();
        writer.close();
        discovery.close();
    }
}
