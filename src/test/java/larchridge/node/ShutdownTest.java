package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.NodeFixture.awaitLatch;
import static larchridge.node.ScriptedEndpointList.endpointJson;
import static larchridge.node.WireMessages.EVENT;
import static larchridge.node.WireMessages.HEALTH_REQUEST;
import static larchridge.node.WireMessages.LAST_EVENTS;
import static larchridge.node.WireMessages.STREAM_HEAD;
import static larchridge.node.WireMessages.chunk;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import larchridge.node.NodeFixture.ReadGate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Shutdown of a node while requests, streams and releases are in progress and late requests arrive.
 */
@Timeout(30)
class ShutdownTest extends AbstractNodeTest {
    /**
     * The platform counts a stream as lost if it was accepted later than this after SIGTERM and is
     * still in progress at SIGKILL.
     */
    private static final long ACCEPTED_AFTER_SIGTERM_MS = 700;

    private void beginShutdown() throws Exception {
        fixture.node.shutDown();
        fixture.awaitEventLoop();
    }

    /** A connection that has served a request and is idle. */
    private RawClient idleClient() throws Exception {
        RawClient client = fixture.newClient();
        client.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(client);
        return client;
    }

    @Test
    void connectionWithoutARequestYetIsServedWhenItSendsOne() throws Exception {
        RawClient client = fixture.newClient();
        fixture.awaitEventLoop();
        beginShutdown();
        client.send(generationRequest(newRequestId(), ""));
        String answer = awaitCompleteStream(client);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        assertEquals("", client.readToEnd());
    }

    @Test
    void connectionThatNeverSendsARequestDoesNotDelayTheShutdownForever() throws Exception {
        RawClient client = fixture.newClient();
        fixture.awaitEventLoop();
        beginShutdown();
        assertTrue(client.readToEnd().startsWith("HTTP/1.1 408 "));
        fixture.node.awaitTermination();
    }

    @Test
    void partiallyReceivedRequestIsAnswered() throws Exception {
        String request = generationRequest(newRequestId(), "");
        int[] parts = {1, request.indexOf("Req-Kind"), request.indexOf("{\"model\"") + 3};
        RawClient[] fresh = new RawClient[parts.length];
        RawClient[] idle = new RawClient[parts.length];
        String[] freshRemainder = new String[parts.length];
        String[] idleRemainder = new String[parts.length];
        for (int i = 0; i < parts.length; i++) {
            String one = request.replaceFirst("Req-Id: \\w+", "Req-Id: " + newRequestId());
            String two = request.replaceFirst("Req-Id: \\w+", "Req-Id: " + newRequestId());
            fresh[i] = fixture.newClient();
            idle[i] = idleClient();
            fresh[i].send(one.substring(0, parts[i]));
            idle[i].send(two.substring(0, parts[i]));
            freshRemainder[i] = one.substring(parts[i]);
            idleRemainder[i] = two.substring(parts[i]);
        }
        fixture.awaitEventLoop();
        beginShutdown();
        for (int i = 0; i < parts.length; i++) {
            fresh[i].send(freshRemainder[i]);
            awaitCompleteStream(fresh[i]);
            idle[i].send(idleRemainder[i]);
            awaitCompleteStream(idle[i]);
        }
    }

    @Test
    void requestInTheSocketOfAnIdleConnectionIsAnswered() throws Exception {
        RawClient client = idleClient();
        CountDownLatch resume = fixture.pauseEventLoop();
        client.send(generationRequest(newRequestId(), ""));
        fixture.node.shutDown();
        resume.countDown();
        awaitCompleteStream(client);
    }

    @Test
    void pipelinedRequestsAreAnsweredAndTheLastResponseSaysConnectionClose() throws Exception {
        ReadGate gate = fixture.gateReads();
        RawClient client = fixture.clientWithPendingRead(gate, newRequestId());
        String third = generationRequest(newRequestId(), "");
        client.send(generationRequest(newRequestId(), "") + third.substring(0, 20));
        fixture.awaitEventLoop();
        beginShutdown();
        gate.opened().countDown();
        for (int i = 0; i < 2; i++) {
            String answer = awaitCompleteStream(client);
            assertTrue(!answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        }
        client.send(third.substring(20));
        assertTrue(
                awaitCompleteStream(client).toLowerCase(Locale.ROOT).contains("connection: close"));
        assertEquals("", client.readToEnd());
    }

    @Test
    void requestAfterAnIdleConnectionWasClosedIsNotForwarded() throws Exception {
        RawClient client = idleClient();
        beginShutdown();
        assertEquals("", client.readToEnd());
        String id = newRequestId();
        client.send(generationRequest(id, ""));
        fixture.node.awaitTermination();
        assertTrue(
                fixture.reader.received.stream()
                        .noneMatch(request -> id.equals(request.header("Req-Id"))));
    }

    @Test
    void streamInProgressIsForwardedToItsEnd() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        fixture.writer.script =
                request ->
                        new ScriptedResponse(
                                STREAM_HEAD + chunk(EVENT),
                                true,
                                () -> {
                                    begun.countDown();
                                    awaitLatch(resume);
                                    return chunk(EVENT + LAST_EVENTS) + "0\r\n\r\n";
                                });
        RawClient client = fixture.newClient();
        client.send(generationRequest(newRequestId(), ""));
        awaitLatch(begun);
        assertTrue(client.readUntil("\"ab\"").startsWith("HTTP/1.1 200 "));
        beginShutdown();
        resume.countDown();
        assertTrue(client.readToEnd().endsWith("0\r\n\r\n"));
        fixture.node.awaitTermination();
    }

    /**
     * A release at a silent engine takes a fifth of the time that a state may be held, which is 200
     * ms here.
     */
    @Test
    void lastReleaseReachesAnEngineBeforeTheNodeEnds() throws Exception {
        fixture.reader.silent = true;
        try (ScriptedServer second =
                        new ScriptedServer(request -> new ScriptedResponse(null, true));
                ScriptedServer third =
                        new ScriptedServer(request -> new ScriptedResponse(null, true))) {
            second.silent = true;
            third.silent = true;
            fixture.endpointList.addFirst(
                    endpointJson("r2", second.port(), "lectura", "SERVING", 0));
            fixture.endpointList.addFirst(
                    endpointJson("r3", third.port(), "lectura", "SERVING", 0));
            fixture.endpointList.publishChange();
            while (fixture.inspector.engines() < 4) {
                fixture.awaitEventLoop();
            }
            String id = newRequestId();
            RawClient client = fixture.newClient();
            client.send(generationRequest(id, 700, ""));
            fixture.awaitEventLoop();
            fixture.node.shutDown();
            assertTrue(client.readResponse().matches("(?s)HTTP/1.1 50[34] .*"));
            fixture.node.awaitTermination();
            assertEquals("/v1/holds/" + id, fixture.writer.awaitRequest("DELETE").target());
        }
    }

    @Test
    void shutdownBeforeAnythingIsBuiltEndsTheNode() throws Exception {
        Node node =
                Node.create(
                        Map.of(
                                "PROXY_CONFIG",
                                fixture.configurationFile.toString(),
                                "PROXY_NAME",
                                "n1"));
        node.shutDown();
        node.start();
        node.awaitTermination();
    }

    @Test
    void shutdownWhileTheFirstListIsAwaitedEndsTheNode() throws Exception {
        CountDownLatch requested = new CountDownLatch(1);
        try (ScriptedServer silent =
                new ScriptedServer(
                        request -> {
                            requested.countDown();
                            return new ScriptedResponse(null, true);
                        })) {
            fixture.writeConfiguration(silent.port());
            Node node =
                    Node.create(
                            Map.of(
                                    "PROXY_CONFIG",
                                    fixture.configurationFile.toString(),
                                    "PROXY_NAME",
                                    "n1"));
            Thread shutdownThread =
                    new Thread(
                            () -> {
                                awaitLatch(requested);
                                node.shutDown();
                            });
            shutdownThread.start();
            node.start();
            node.awaitTermination();
        }
    }

    @Test
    void repeatedShutdownAndReloadDuringShutdownChangeNothing() throws Exception {
        ReadGate gate = fixture.gateReads();
        RawClient client = fixture.clientWithPendingRead(gate, newRequestId());
        fixture.node.shutDown();
        fixture.node.reload();
        fixture.node.shutDown();
        fixture.awaitEventLoop();
        gate.opened().countDown();
        awaitCompleteStream(client);
        fixture.node.awaitTermination();
        fixture.node.shutDown();
        fixture.node.reload();
    }

    @Test
    void allReceivedRequestsAreAnsweredDuringShutdown() throws Exception {
        ReadGate gate = fixture.gateReads();
        RawClient idle = fixture.newClient();
        idle.send(HEALTH_REQUEST);
        assertTrue(idle.readResponse().startsWith("HTTP/1.1 200 "));
        RawClient busy = fixture.clientWithPendingRead(gate, newRequestId());
        fixture.node.shutDown();
        assertEquals("", idle.readToEnd());
        RawClient late = fixture.newClient();
        late.send(HEALTH_REQUEST);
        assertTrue(late.readToEnd().startsWith("HTTP/1.1 503 "));
        gate.opened().countDown();
        assertTrue(busy.readToEnd().endsWith("0\r\n\r\n"));
        fixture.node.awaitTermination();
        assertThrows(IOException.class, () -> fixture.newClient());
    }

    /**
     * A node may be held up for up to 150 ms between reading its clock and writing, and the limit
     * counts from when SIGTERM was sent.
     */
    @Test
    void requestThatComesLongAfterSigtermIsNotAccepted() throws Exception {
        RawClient fresh = fixture.newClient();
        fixture.awaitEventLoop();
        fixture.node.shutDown();
        sleep(ACCEPTED_AFTER_SIGTERM_MS - 150);
        fresh.send(generationRequest(newRequestId(), ""));
        assertTrue(fresh.readResponse().startsWith("HTTP/1.1 503 "));
        assertEquals(0, fixture.reader.attemptCount());
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
