package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.WireMessages.EVENT;
import static larchridge.node.WireMessages.HEALTH_REQUEST;
import static larchridge.node.WireMessages.LAST_EVENTS;
import static larchridge.node.WireMessages.SHORT_STREAM;
import static larchridge.node.WireMessages.STREAM_HEAD;
import static larchridge.node.WireMessages.chunk;
import static larchridge.node.WireMessages.declined;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static larchridge.node.WireMessages.readResponse;
import static larchridge.node.WireMessages.response;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * How requests reach engines and responses reach clients, verified by the bytes that both sides
 * received.
 */
@Timeout(30)
class RequestForwardingTest extends AbstractNodeTest {
    private static String events(String answer) {
        StringBuilder all = new StringBuilder();
        int at = answer.indexOf("\r\n\r\n") + 4;
        while (at < answer.length()) {
            int line = answer.indexOf("\r\n", at);
            int size = Integer.parseInt(answer.substring(at, line), 16);
            all.append(answer, line + 2, line + 2 + size);
            at = line + 2 + size + 2;
        }
        return all.toString();
    }

    @Test
    void requestIsForwardedUnchangedToReaderThenWriterAndEventsComeBackUnchanged()
            throws Exception {
        String id = newRequestId();
        RawClient client = fixture.newClient();
        client.send(generationRequest(id, ""));
        String answer = awaitCompleteStream(client);
        assertEquals(EVENT + EVENT + LAST_EVENTS, events(answer));
        for (ScriptedServer engine : new ScriptedServer[] {fixture.reader, fixture.writer}) {
            ReceivedRequest request = engine.awaitRequest("POST");
            assertEquals("/v1/chat/completions?v=1", request.target());
            assertEquals(id, request.header("Req-Id"));
            assertEquals(
                    "{\"model\":\"consulta\",\"stream\":true,\"messages\":[]}", request.body());
            assertTrue(Integer.parseInt(request.header("Req-Deadline-Ms")) <= 4000);
            assertNull(request.header("Transfer-Encoding"));
        }
        // The same connection serves the next request, and no state of the first one remains to be
        // released.
        client.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(client);
        assertTrue(
                fixture.writer.received.stream()
                        .noneMatch(request -> request.method().equals("DELETE")));
    }

    @Test
    void headersOfTheRequestAreForwardedAndThoseOfTheConnectionAreNot() throws Exception {
        RawClient client = fixture.newClient();
        client.send(
                generationRequest(
                        newRequestId(),
                        "Idempotency-Key: 7c1e\r\nx-Any: one\r\nX-Any: two\r\nConnection: keep-alive, X-Hop\r\n"
                                + "X-Hop: here\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"));
        awaitCompleteStream(client);
        for (ScriptedServer engine : new ScriptedServer[] {fixture.reader, fixture.writer}) {
            ReceivedRequest request = engine.awaitRequest("POST");
            assertEquals("7c1e", request.header("Idempotency-Key"));
            assertEquals("consulta", request.header("Req-Kind"));
            assertTrue(
                    request.head()
                            .toLowerCase(Locale.ROOT)
                            .replace("\r\n", "|")
                            .contains("|x-any: one|x-any: two|"),
                    request.head());
            for (String name : new String[] {"X-Hop", "Keep-Alive", "TE", "Connection"}) {
                assertNull(request.header(name), name);
            }
            assertEquals(1, request.head().split("(?i)\r\nReq-Id:").length - 1);
            assertEquals(1, request.head().split("(?i)\r\nReq-Deadline-Ms:").length - 1);
            assertEquals(1, request.head().split("(?i)\r\nContent-Length:").length - 1);
            assertEquals(1, request.head().split("(?i)\r\nHost:").length - 1);
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        RawClient client = fixture.newClient();
        client.send(
                generationRequest(newRequestId(), "")
                        + generationRequest(newRequestId(), "")
                        + HEALTH_REQUEST);
        for (int i = 0; i < 2; i++) {
            awaitCompleteStream(client);
        }
        assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
    }

    @Test
    void garbageBeforeTheFirstEventIsAFailedAttemptAndTheClientIsServedByAnother()
            throws Exception {
        AtomicInteger calls = new AtomicInteger();
        for (String noise :
                new String[] {
                    "\u0001\u0002xx\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nX: " + "y".repeat(20_000),
                    STREAM_HEAD + "zz\r\n",
                    STREAM_HEAD + "c0000000\r\n" + "x".repeat(100_000),
                    STREAM_HEAD + chunk("noise\n\n")
                }) {
            calls.set(0);
            fixture.writer.script =
                    request ->
                            calls.getAndIncrement() == 0
                                    ? new ScriptedResponse(noise, true)
                                    : new ScriptedResponse(SHORT_STREAM, true);
            RawClient client = fixture.newClient();
            client.send(generationRequest(newRequestId(), ""));
            assertEquals(
                    EVENT + LAST_EVENTS,
                    events(awaitCompleteStream(client)),
                    noise.substring(0, 8));
            assertEquals(2, calls.get());
        }
    }

    @Test
    void streamCorruptedOrBrokenAfterItsFirstEventClosesTheClientsConnectionWithoutTheLastChunk()
            throws Exception {
        String first = STREAM_HEAD + chunk(EVENT);
        for (ScriptedResponse bad :
                new ScriptedResponse[] {
                    new ScriptedResponse(first + "zz\r\n", true),
                    new ScriptedResponse(first + "c0000000\r\nabc", true),
                    new ScriptedResponse(first, false),
                    new ScriptedResponse(first + "0\r\n\r\n", true),
                    new ScriptedResponse(first + chunk("noise\n\n"), true),
                    new ScriptedResponse(first + "5\r\nabcdefgh\r\n", true)
                }) {
            fixture.writer.script = request -> bad;
            RawClient client = fixture.newClient();
            client.send(generationRequest(newRequestId(), ""));
            String all = client.readToEnd();
            assertTrue(all.startsWith("HTTP/1.1 200 "), bad.bytes());
            assertTrue(all.contains("\"content\":\"ab\""));
            assertFalse(all.endsWith("0\r\n\r\n"), bad.bytes());
        }
    }

    @Test
    void interimResponsesAreSkippedAndAStrayResponseIsDropped() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String good = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + SHORT_STREAM;
        fixture.writer.script =
                request ->
                        new ScriptedResponse(
                                calls.getAndIncrement() == 0
                                        ? good + response("200 OK", "stray")
                                        : good,
                                true);
        RawClient client = fixture.newClient();
        for (int i = 0; i < 2; i++) {
            client.send(generationRequest(newRequestId(), ""));
            assertEquals(EVENT + LAST_EVENTS, events(awaitCompleteStream(client)));
        }
        ReceivedRequest first = fixture.writer.awaitRequest("POST");
        assertNotEquals(first.connection(), fixture.writer.awaitRequest("POST").connection());
    }

    @Test
    void attemptThatNeverRanIsRetriedAndAMissingStateIsReadAgain() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        fixture.writer.script =
                request ->
                        calls.getAndIncrement() == 0
                                ? new ScriptedResponse(declined("410 Gone"), true)
                                : new ScriptedResponse(SHORT_STREAM, true);
        RawClient client = fixture.newClient();
        client.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(client);
        fixture.reader.awaitRequest("POST");
        fixture.reader.awaitRequest("POST");
    }

    @Test
    void requestThatAnEngineRejectsAsInvalidFailsAtOnceWithoutRetry() throws Exception {
        fixture.reader.script =
                request -> new ScriptedResponse(response("400 Bad Request", "{}"), true);
        RawClient client = fixture.newClient();
        client.send(generationRequest(newRequestId(), ""));
        assertTrue(client.readToEnd().startsWith("HTTP/1.1 400 "));
        fixture.reader.awaitRequest("POST");
        assertTrue(fixture.reader.received.isEmpty());
        // The engine is not penalized: it serves the next request.
        fixture.reader.script = request -> new ScriptedResponse(readResponse(0), true);
        RawClient other = fixture.newClient();
        other.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(other);
    }
}
