package larchridge.node;

import static larchridge.node.ScriptedEndpointList.endpointJson;
import static larchridge.node.WireMessages.EVENT;
import static larchridge.node.WireMessages.LAST_EVENTS;
import static larchridge.node.WireMessages.STREAM_HEAD;
import static larchridge.node.WireMessages.chunk;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.readResponse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A node over loopback between scripted engines, a scripted discovery agent and raw clients that
 * exchange bytes in the platform's wire format.
 */
final class NodeFixture implements AutoCloseable {
    private static final int SOCKETS = 300;

    final ScriptedServer reader =
            new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true));
    final ScriptedServer writer =
            new ScriptedServer(
                    request ->
                            new ScriptedResponse(
                                    STREAM_HEAD
                                            + chunk(EVENT)
                                            + chunk(EVENT + LAST_EVENTS)
                                            + "0\r\n\r\n",
                                    true));
    final ScriptedEndpointList endpointList = new ScriptedEndpointList();
    final ScriptedServer discovery = new ScriptedServer(endpointList::respond);
    final Path configurationFile;
    final Node node;
    final NodeInspector inspector;
    private final List<RawClient> clients = new ArrayList<>();

    /**
     * Holds back readers' responses: {@code requested} is counted down when a reader receives a
     * request, and counting down {@code opened} lets the responses be sent.
     */
    record ReadGate(CountDownLatch requested, CountDownLatch opened) {}

    NodeFixture(Path folder) throws Exception {
        endpointList.add(endpointJson("r1", reader.port(), "lectura", "SERVING", 0));
        endpointList.add(endpointJson("w1", writer.port(), "redaccion", "SERVING", 0));
        configurationFile = folder.resolve("config.json");
        writeConfiguration(discovery.port());
        node = Node.open(Map.of("PROXY_CONFIG", configurationFile.toString(), "PROXY_NAME", "n1"));
        inspector = new NodeInspector(node);
    }

    /** Writes the node's configuration with the port of the discovery agent. */
    void writeConfiguration(int discoveryPort) throws IOException {
        Files.writeString(
                configurationFile,
                ConfigurationJson.of(0, discoveryPort, SOCKETS, endpointList.snapshotJson()));
    }

    /** Opens a connection to the node; it is closed with the fixture. */
    RawClient newClient() throws IOException {
        RawClient client = new RawClient(node.port());
        clients.add(client);
        return client;
    }

    /** Reads the next response, which must be a complete stream, and returns it. */
    static String awaitCompleteStream(RawClient client) throws IOException {
        String answer = client.readUntil("0\r\n\r\n");
        assertNotNull(answer, "the connection was closed before its response");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        return answer;
    }

    /** Waits for a latch that must be counted down soon. */
    static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(8, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Makes readers' responses wait until the gate is opened. */
    ReadGate gateReads() {
        ReadGate gate = new ReadGate(new CountDownLatch(1), new CountDownLatch(1));
        reader.script =
                request -> {
                    gate.requested.countDown();
                    awaitLatch(gate.opened);
                    return new ScriptedResponse(readResponse(0), true);
                };
        return gate;
    }

    /**
     * Returns a client whose request a reader has received and does not answer before the gate is
     * opened.
     */
    RawClient clientWithPendingRead(ReadGate gate, String id) throws IOException {
        RawClient client = newClient();
        client.send(generationRequest(id, ""));
        awaitLatch(gate.requested);
        return client;
    }

    /**
     * Blocks the node's event loop until the returned latch is counted down; returns once it is
     * blocked. Data that arrives at the node's sockets meanwhile is available, in order, when the
     * loop resumes.
     */
    CountDownLatch pauseEventLoop() {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        node.loop()
                .execute(
                        () -> {
                            paused.countDown();
                            awaitLatch(resume);
                        });
        awaitLatch(paused);
        return resume;
    }

    /**
     * Returns once the node has read the data in its sockets and completed the work that followed
     * from it.
     */
    void awaitEventLoop() throws Exception {
        for (int i = 0; i < 3; i++) {
            inspector.connections();
        }
    }

    @Override
    public void close() throws IOException {
        for (RawClient client : clients) {
            client.close();
        }
        node.shutDown();
        try {
            node.awaitTermination();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        reader.close();
        writer.close();
        discovery.close();
    }
}
