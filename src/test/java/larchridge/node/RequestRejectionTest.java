package larchridge.node;

import static java.nio.charset.StandardCharsets.UTF_8;
import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.node.NodeFixture.ReadGate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that are rejected before they reach an engine. */
@Timeout(30)
class RequestRejectionTest extends AbstractNodeTest {
    @Test
    void invalidRequestsGetAnErrorAndACloseAndReachNoEngine() throws Exception {
        String good = generationRequest(newRequestId(), "");
        String[] bad = {
            "\u0000\u0001\u0002\r\n\r\n",
            "GET / HTTP/1.1\r\nA: " + "b".repeat(40_000),
            good.replace("POST", "BREW"),
            good.replace("Content-Length: ", "Content-Length: -"),
            good.replace("Content-Length: ", "Content-Length: 9999999999"),
            good.replace("Content-Length: ", "Content-Length: x"),
            good.replace("Content-Length: ", "Content-Length: 3\r\nContent-Length: "),
            good.replace("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: "),
            good.replaceAll("Content-Length: \\d+", "Transfer-Encoding: gzip, chunked"),
            good.replaceAll("Content-Length: \\d+", "Transfer-Encoding: chunked")
                    .replace("{\"model\"", "zz\r\n{\"model\""),
            good.replace("Req-Kind: consulta", "Req-Kind: other"),
            good.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: soon"),
            good.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: -1"),
            good.replaceAll("Req-Id: \\w+\r\n", ""),
            good.replaceAll("Req-Id: \\w+", "Req-Id: ../../x"),
            good.replace("prompt_len=400", "prompt_len=many"),
            good.replace("/v1/chat/completions", "/v1/other"),
            good.replace("HTTP/1.1", "HTTP/1.0")
        };
        for (String bytes : bad) {
            RawClient client = fixture.newClient();
            client.send(bytes);
            String answer = client.readToEnd();
            assertTrue(answer.matches("(?s)HTTP/1.1 [45].*"), bytes);
        }
        assertTrue(fixture.reader.received.isEmpty());
        assertTrue(fixture.writer.received.isEmpty());
    }

    @Test
    void requestSmuggledByConflictingLengthsIsNeverServed() throws Exception {
        RawClient client = fixture.newClient();
        client.send(
                generationRequest(newRequestId(), "Transfer-Encoding: chunked\r\n")
                                .replaceAll("\r\n\r\n.*", "\r\n\r\n0\r\n\r\n")
                        + generationRequest(newRequestId(), ""));
        assertTrue(client.readToEnd().startsWith("HTTP/1.1 400 "));
        assertTrue(fixture.reader.received.isEmpty());
    }

    @Test
    void idOfAGenerationInFlightIsRejectedAndTheFirstIsUnaffected() throws Exception {
        ReadGate gate = fixture.gateReads();
        String id = newRequestId();
        RawClient first = fixture.clientWithPendingRead(gate, id);
        RawClient second = fixture.newClient();
        second.send(generationRequest(id, ""));
        assertTrue(second.readToEnd().startsWith("HTTP/1.1 409 "));
        gate.opened().countDown();
        awaitCompleteStream(first);
        assertEquals(id, fixture.reader.awaitRequest("POST").header("Req-Id"));
        assertTrue(fixture.reader.received.isEmpty());
    }

    @Test
    void responseReachesAClientThatStillSends() throws Exception {
        byte[] more = new byte[4 << 20];
        for (String head :
                new String[] {
                    "Content-Length: 60000000\r\n\r\n",
                    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
                }) {
            RawClient client = fixture.newClient();
            client.send("POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\n" + head);
            client.socket.getOutputStream().write(more);
            // Throws if the connection is reset, which closing it with unread data would cause.
            assertTrue(
                    new String(client.socket.getInputStream().readAllBytes(), UTF_8)
                            .matches("(?s)HTTP/1.1 4\\d\\d .*"),
                    head);
        }
    }
}
