package larchridge.node;

import static larchridge.node.WireMessages.HEALTH_REQUEST;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A node in a separate process that may open fewer descriptors than are configured, so that its
 * system calls fail.
 */
@Timeout(60)
class DescriptorExhaustionTest {
    private static final int DESCRIPTORS = 250;
    private static final int CLIENTS = 300;
    private static final long EXHAUSTED_MS = 1500;
    private static final double RECOVERED_WITHIN_MS = 1000;

    @TempDir Path folder;
    private NodeProcess node;

    @BeforeEach
    void start() throws Exception {
        node = new NodeProcess(folder, DESCRIPTORS);
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
    }

    private List<Socket> connectAll() throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Socket(InetAddress.getLoopbackAddress(), node.port));
        }
        return clients;
    }

    private static void closeAll(List<Socket> clients) throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    /**
     * Every connection to discovery fails at the socket call; once there are descriptors again, the
     * list must be followed again.
     */
    @Test
    void discoveryIsPolledAgainOnceThereAreDescriptors() throws Exception {
        List<Socket> clients = connectAll();
        node.discovery.script = request -> new ScriptedResponse(null, false);
        node.endpointList.publishChange();
        TimeUnit.MILLISECONDS.sleep(EXHAUSTED_MS);
        node.discovery.script = node.endpointList::respond;
        node.discovery.received.clear();
        closeAll(clients);
        long free = System.nanoTime();
        assertTrue(
                node.discovery.received.poll(8, TimeUnit.SECONDS) != null,
                "discovery was never polled again");
        double tookMs = (System.nanoTime() - free) / 1e6;
        assertTrue(tookMs < RECOVERED_WITHIN_MS, "polled again after " + tookMs + " ms");
    }

    /** A failed accept is a brief local condition; the node must resume accepting soon after it. */
    @Test
    void clientsAreAcceptedAgainOnceThereAreDescriptors() throws Exception {
        List<Socket> clients = connectAll();
        TimeUnit.MILLISECONDS.sleep(200);
        closeAll(clients);
        long free = System.nanoTime();
        try (RawClient client = new RawClient(node.port)) {
            client.send(HEALTH_REQUEST);
            assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
        }
        double tookMs = (System.nanoTime() - free) / 1e6;
        assertTrue(tookMs < 500, "accepted after " + tookMs + " ms");
    }

    /** A failed socket call says nothing about the engine, and there is time for a retry. */
    @Test
    void requestIsServedAfterItsAttemptsBrieflyFailForLackOfADescriptor() throws Exception {
        RawClient client = new RawClient(node.port);
        List<Socket> clients = connectAll();
        TimeUnit.MILLISECONDS.sleep(200);
        client.send(generationRequest(newRequestId(), ""));
        TimeUnit.MILLISECONDS.sleep(500);
        closeAll(clients);
        client.socket.setSoTimeout(8000);
        String head;
        try {
            head = client.readUntil("\r\n\r\n");
        } catch (SocketTimeoutException e) {
            throw new AssertionError("no response; the node's log: " + node.log(), e);
        }
        assertTrue(head != null && head.startsWith("HTTP/1.1 200 "), head);
        assertEquals(1, node.writer.attemptCount());
        client.close();
    }
}
