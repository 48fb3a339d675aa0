package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.NodeFixture.awaitLatch;
import static larchridge.node.ScriptedEndpointList.endpointJson;
import static larchridge.node.WireMessages.EVENT;
import static larchridge.node.WireMessages.LAST_EVENTS;
import static larchridge.node.WireMessages.SHORT_STREAM;
import static larchridge.node.WireMessages.STREAM_HEAD;
import static larchridge.node.WireMessages.chunk;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static larchridge.node.WireMessages.readResponse;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients that close their connection while their request is about to be sent to an engine: no
 * attempt starts for them, and states that were read for them are released.
 */
@Timeout(30)
class ClientCloseTest extends AbstractNodeTest {
    /** Closes with a FIN, or with a reset that discards data that the peer has not read. */
    private static void close(RawClient client, boolean resets) throws Exception {
        if (resets) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    /**
     * Whether an engine received an attempt of this request, checked after a later request has been
     * served completely.
     */
    private boolean hasReceivedAttempt(ScriptedServer engine, String id) throws Exception {
        RawClient other = fixture.newClient();
        other.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(other);
        return engine.received.stream()
                .anyMatch(
                        request ->
                                request.method().equals("POST")
                                        && id.equals(request.header("Req-Id")));
    }

    @Test
    void requestWhoseClientClosesRightAfterSendingItIsNotForwarded() throws Exception {
        RawClient idle = fixture.newClient();
        idle.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(idle);
        for (RawClient client : List.of(fixture.newClient(), idle)) {
            fixture.awaitEventLoop();
            CountDownLatch resume = fixture.pauseEventLoop();
            String id = newRequestId();
            client.send(generationRequest(id, ""));
            client.close();
            resume.countDown();
            assertTrue(!hasReceivedAttempt(fixture.reader, id));
        }
    }

    @Test
    void readThatEndsInTheLoopIterationInWhichTheClientClosesIsReleasedAndNotWritten()
            throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            CountDownLatch answered = new CountDownLatch(1);
            CountDownLatch requested = new CountDownLatch(1);
            CountDownLatch open = new CountDownLatch(1);
            fixture.reader.script =
                    request -> {
                        requested.countDown();
                        awaitLatch(open);
                        return new ScriptedResponse(
                                readResponse(0),
                                true,
                                () -> {
                                    answered.countDown();
                                    return "";
                                });
                    };
            String id = newRequestId();
            RawClient client = fixture.newClient();
            client.send(generationRequest(id, ""));
            awaitLatch(requested);
            CountDownLatch resume = fixture.pauseEventLoop();
            open.countDown();
            awaitLatch(answered);
            close(client, resets);
            resume.countDown();
            assertEquals("/v1/holds/" + id, fixture.reader.awaitRequest("DELETE").target());
            assertTrue(!hasReceivedAttempt(fixture.writer, id), "resets " + resets);
        }
    }

    @Test
    void pipelinedRequestIsNotForwardedIfItsClientClosesWhenItIsDequeued() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch open = new CountDownLatch(1);
        fixture.writer.script =
                request ->
                        new ScriptedResponse(
                                STREAM_HEAD + chunk(EVENT),
                                true,
                                () -> {
                                    begun.countDown();
                                    awaitLatch(open);
                                    return chunk(EVENT + LAST_EVENTS) + "0\r\n\r\n";
                                });
        String ahead = newRequestId();
        RawClient client = fixture.newClient();
        client.send(generationRequest(newRequestId(), "") + generationRequest(ahead, ""));
        awaitLatch(begun);
        client.readUntil("\"ab\"");
        fixture.writer.script = request -> new ScriptedResponse(SHORT_STREAM, true);
        CountDownLatch resume = fixture.pauseEventLoop();
        open.countDown();
        fixture.writer.awaitResponsesWritten();
        client.close();
        resume.countDown();
        assertTrue(!hasReceivedAttempt(fixture.reader, ahead));
    }

    /**
     * The first attempt gets no response; the second falls due while the event loop is paused, and
     * the client closes meanwhile.
     */
    @Test
    void retryThatFallsDueInTheLoopIterationInWhichTheClientClosesIsNotSent() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        try (ScriptedServer second =
                new ScriptedServer(
                        request -> {
                            first.countDown();
                            return new ScriptedResponse(null, true);
                        })) {
            fixture.reader.script = second.script;
            fixture.endpointList.add(endpointJson("r2", second.port(), "lectura", "SERVING", 0));
            fixture.endpointList.publishChange();
            while (fixture.inspector.engines() < 3) {
                fixture.awaitEventLoop();
            }
            RawClient client = fixture.newClient();
            client.send(generationRequest(newRequestId(), ""));
            awaitLatch(first);
            CountDownLatch resume = fixture.pauseEventLoop();
            // Longer than the policy waits for a silent reader, so that the second attempt is due
            // when the loop resumes.
            TimeUnit.MILLISECONDS.sleep(1500);
            client.close();
            resume.countDown();
            fixture.awaitEventLoop();
            fixture.awaitEventLoop();
            long attempts = fixture.reader.attemptCount() + second.attemptCount();
            assertEquals(1, attempts);
        }
    }

    @Test
    void incompleteRequestOfAClosedConnectionReachesNoEngine() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            String id = newRequestId();
            String request = generationRequest(id, "");
            RawClient client = fixture.newClient();
            client.send(request.substring(0, request.length() - 4));
            fixture.awaitEventLoop();
            close(client, resets);
            assertTrue(!hasReceivedAttempt(fixture.reader, id));
            assertEquals(0, fixture.inspector.openRequests());
        }
    }
}
