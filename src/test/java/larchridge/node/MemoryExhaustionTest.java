package larchridge.node;

import static larchridge.node.NodeFixture.awaitLatch;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static larchridge.node.WireMessages.readResponse;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A node in a separate process with a small heap, whose clients send what is short on the wire and
 * large as objects. Guards against: the heap is exhausted, the event loop ends, and the process
 * stays without answering anybody.
 */
@Timeout(60)
class MemoryExhaustionTest {
    private static final int DESCRIPTORS = 1000;
    private static final int MANY_CLIENTS = 380;
    private static final int MAX_BODY_BYTES = 256 << 10;

    /** Fills a head of 8 KiB. */
    private static final String SHORT_HEADERS = "a:\r\n".repeat(1900);

    @TempDir Path folder;
    private NodeProcess node;
    private final CountDownLatch readsAllowed = new CountDownLatch(1);
    private final List<RawClient> badClients = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        node = new NodeProcess(folder, DESCRIPTORS);
    }

    @AfterEach
    void stop() throws Exception {
        readsAllowed.countDown();
        for (RawClient client : badClients) {
            client.close();
        }
        node.close();
    }

    private RawClient newBadClient() throws IOException {
        RawClient client = new RawClient(node.port);
        badClients.add(client);
        return client;
    }

    private void holdReads() {
        node.reader.script =
                request -> {
                    awaitLatch(readsAllowed);
                    return new ScriptedResponse(readResponse(0), true);
                };
    }

    private static String chunkedRequest(String headers) {
        return generationRequest(newRequestId(), headers + "Transfer-Encoding: chunked\r\n")
                .replaceAll("(?s)Content-Length: .*", "\r\n");
    }

    /** The request of a client that does nothing wrong is answered, with 200 or 503. */
    private boolean isServed() throws IOException {
        try (RawClient client = new RawClient(node.port)) {
            client.send(generationRequest(newRequestId(), ""));
            String head = client.readUntil("\r\n\r\n");
            assertTrue(
                    head != null && head.matches("(?s)HTTP/1.1 (200|503) .*"),
                    head + "; the node's log: " + node.log());
            return head.startsWith("HTTP/1.1 200 ");
        }
    }

    private void assertServes() throws Exception {
        while (!isServed()) {
            // Bad clients are owed their end within 3 s; the time limit of the test covers that.
            Thread.sleep(50);
        }
        assertTrue(node.process.isAlive());
        assertFalse(node.log().contains("MemoryError"), node.log());
    }

    /** Failed before: a part of one byte counted as one byte, and the event loop ended. */
    @Test
    void pipelinedBodyInTinyChunksDoesNotExhaustTheHeap() throws Exception {
        holdReads();
        String tinyChunks = "1\r\nx\r\n".repeat(1024);
        for (int i = 0; i < 8; i++) {
            RawClient client = newBadClient();
            client.send(generationRequest(newRequestId(), "") + chunkedRequest(""));
        }
        for (int sent = 0; sent < MAX_BODY_BYTES; sent += 1024) {
            for (RawClient client : badClients) {
                client.send(tinyChunks);
            }
        }
        readsAllowed.countDown();
        assertServes();
    }

    /** Failed before: decoded heads counted in no bound. */
    @Test
    void headsOfShortLinesBeforeAnIncompleteBodyDoNotExhaustTheHeap() throws Exception {
        String request = generationRequest(newRequestId(), SHORT_HEADERS);
        sendByManyClients(request.substring(0, request.length() - 1));
    }

    /** Failed before: lines of a head that is not complete counted in no bound. */
    @Test
    void incompleteHeadsOfShortLinesDoNotExhaustTheHeap() throws Exception {
        sendByManyClients(chunkedRequest(SHORT_HEADERS).replaceAll("\r\n\r\n", "\r\n"));
    }

    /** Failed before: trailers counted in no bound. */
    @Test
    void incompleteTrailersOfShortLinesDoNotExhaustTheHeap() throws Exception {
        sendByManyClients(chunkedRequest("") + "2\r\n{}\r\n0\r\n" + SHORT_HEADERS);
    }

    /** The headers of a request in flight, which are forwarded with it, count until its answer. */
    @Test
    void headsOfRequestsInFlightDoNotExhaustTheHeap() throws Exception {
        holdReads();
        String request = generationRequest(newRequestId(), "a:b\r\n".repeat(1500));
        for (int i = 0; i < MANY_CLIENTS; i++) {
            newBadClient().send(request.replaceAll("Req-Id: \\w+", "Req-Id: " + newRequestId()));
        }
        readsAllowed.countDown();
        assertServes();
    }

    private void sendByManyClients(String incompleteRequest) throws Exception {
        for (int i = 0; i < MANY_CLIENTS; i++) {
            newBadClient().send(incompleteRequest);
        }
        assertServes();
    }

    /**
     * Failed before: one waiting byte kept a read buffer of 64 KiB, and connections were closed.
     */
    @Test
    void incompleteLinesBehindLargeBodiesDoNotExhaustTheDirectMemory() throws Exception {
        String body = "x".repeat(200_000);
        String healthRequest =
                "GET /up HTTP/1.1\r\nHost: n\r\nContent-Length: " + body.length() + "\r\n\r\n";
        for (int i = 0; i < MANY_CLIENTS; i++) {
            RawClient client = newBadClient();
            client.send(healthRequest + body);
            assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
        }
        for (RawClient client : badClients) {
            client.send("P");
        }
        assertServes();
    }

    /** What an incomplete request has reserved is released when its client leaves. */
    @Test
    void memoryOfIncompleteRequestsIsReleasedWhenTheirClientsLeave() throws Exception {
        String incompleteHead = chunkedRequest(SHORT_HEADERS).replaceAll("\r\n\r\n", "\r\n");
        for (int round = 0; round < 3; round++) {
            List<RawClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                RawClient client = new RawClient(node.port);
                client.send(incompleteHead);
                clients.add(client);
            }
            for (RawClient client : clients) {
                client.close();
            }
        }
        assertServes();
        node.process.destroy();
        assertEquals(0, node.process.waitFor());
        assertFalse(node.log().contains("not released"), node.log());
    }
}
