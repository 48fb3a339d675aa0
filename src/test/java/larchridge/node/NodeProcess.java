package larchridge.node;

import static larchridge.node.ScriptedEndpointList.endpointJson;
import static larchridge.node.WireMessages.HEALTH_REQUEST;
import static larchridge.node.WireMessages.SHORT_STREAM;
import static larchridge.node.WireMessages.readResponse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A node in a separate process, between scripted engines and a scripted discovery agent in this
 * one. Heap and direct memory are those that {@code deploy/node.sh} gives a node of 192 MB.
 */
final class NodeProcess implements AutoCloseable {
    private static final long START_NANOS = 30_000_000_000L;

    /**
     * Far more descriptors than the process gets, so that the node's own limits are not reached
     * first.
     */
    private static final int CONFIGURED_DESCRIPTORS = 1000;

    final ScriptedServer reader =
            new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true));
    final ScriptedServer writer =
            new ScriptedServer(request -> new ScriptedResponse(SHORT_STREAM, true));
    final ScriptedEndpointList endpointList = new ScriptedEndpointList();
    final ScriptedServer discovery = new ScriptedServer(endpointList::respond);
    final int port;
    final Process process;
    private final Path log;

    NodeProcess(Path folder, int descriptors) throws IOException, InterruptedException {
        this(folder, descriptors, freePort());
        awaitReady();
    }

    /** Starts the node at a port without waiting until it is ready. */
    NodeProcess(Path folder, int descriptors, int port) throws IOException {
        this.port = port;
        Path config = folder.resolve("config.json");
        endpointList.add(endpointJson("r1", reader.port(), "lectura", "SERVING", 0));
        endpointList.add(endpointJson("w1", writer.port(), "redaccion", "SERVING", 0));
        Files.writeString(
                config,
                ConfigurationJson.of(
                        port,
                        discovery.port(),
                        CONFIGURED_DESCRIPTORS,
                        endpointList.snapshotJson()));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"",
                        java,
                        "-XX:+UseSerialGC",
                        "-Xmx57m",
                        "-XX:MaxDirectMemorySize=19m",
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
            try (RawClient client = new RawClient(port)) {
                client.send(HEALTH_REQUEST);
                String answer = client.readResponse();
                if (answer.startsWith("HTTP/1.1 200 ")) {
                    return;
                }
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new IOException(
                            "the node exited during its start: " + Files.readString(log), e);
                }
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new IOException("the node did not become ready");
    }

    /** The output of the process so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        reader.close();
        writer.close();
        discovery.close();
    }
}
