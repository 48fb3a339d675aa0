package larchridge.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import larchridge.state.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Every outcome, caused on a socket. */
class CompletionsUpstreamClientTest {
    private CompletionsUpstreamFixture wire;

    @BeforeEach
    void start() throws Exception {
        wire = new CompletionsUpstreamFixture();
    }

    @AfterEach
    void stop() throws Exception {
        wire.close();
    }

    private void answer(String text) {
        wire.engine = (socket, request) -> socket.write(text);
    }

    @Test
    void readLeavesAStateAndTellsWhatWasKept() throws Exception {
        String body =
                "{\"kv_transfer_params\":{\"a\":1},\"usage\":{\"prompt_tokens\":9,"
                        + "\"prompt_tokens_details\":{\"cached_tokens\":5}}}";
        answer(
                "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT named_metrics.num_requests_running=2\r\n"
                        + "content-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
        wire.send(true, true);
        assertEquals("read 5", wire.next());
        assertEquals(2, wire.report.inflight());
        String asked = wire.asked.take();
        assertTrue(
                asked.contains("\"do_remote_decode\":true") && asked.contains("\"max_tokens\":1"),
                asked);
    }

    @Test
    void streamIsToldPieceByPieceAlsoWhenTorn() throws Exception {
        String whole =
                CompletionsUpstreamFixture.STREAM_HEAD
                        + CompletionsUpstreamFixture.piece("a\u00e1", null)
                        + CompletionsUpstreamFixture.piece("b", "stop")
                        + CompletionsUpstreamFixture.chunk("data: [DONE]\n\n")
                        + "0\r\n\r\n";
        wire.engine = (socket, request) -> tear(socket, Buffer.buffer(whole), 0);
        wire.send(false, true);
        assertEquals("begun", wire.next());
        assertEquals("piece a\u00e1", wire.next());
        assertEquals("piece b", wire.next());
        assertEquals("STREAMED", wire.next());
        assertEquals(Completion.FinishReason.END_OF_TURN, wire.ending.finishReason());
    }

    @Test
    void piecesThatComeTogetherAreHandedOnTogether() throws Exception {
        String pieces = CompletionsUpstreamFixture.piece("a", null).repeat(50);
        wire.engine =
                (socket, request) -> socket.write(CompletionsUpstreamFixture.STREAM_HEAD + pieces);
        UpstreamClient.AttemptHandle flight = wire.send(false, true);
        assertEquals("begun", wire.next());
        for (int i = 0; i < 50; i++) {
            assertEquals("piece a", wire.next());
        }
        wire.on(() -> null);
        int soFar = wire.on(wire.soFar::get);
        assertTrue(soFar >= 1 && soFar < 25, soFar + " times");
        wire.on(
                () -> {
                    flight.cancel();
                    return null;
                });
        assertEquals("CANCELLED", wire.next());
    }

    private void tear(NetSocket socket, Buffer bytes, int from) {
        if (from < bytes.length()) {
            socket.write(bytes.getBuffer(from, Math.min(bytes.length(), from + 7)))
                    .onSuccess(v -> tear(socket, bytes, from + 7));
        }
    }

    @Test
    void refusedConnectionIsUnreachable() throws Exception {
        wire.spot = new Endpoint("127.0.0.1", 1);
        wire.send(true, true);
        assertEquals("UNREACHABLE", wire.next());
    }

    @Test
    void fullPoolIsNotSent() throws Exception {
        wire.send(true, true);
        wire.send(true, true);
        wire.send(true, true);
        assertEquals("NOT_SENT", wire.next());
    }

    @Test
    void engineThatBeganToDrainIsNotSentTo() throws Exception {
        wire.send(true, false);
        assertEquals("NOT_SENT", wire.next());
        assertTrue(wire.asked.isEmpty());
    }

    @Test
    void fullIsFull() throws Exception {
        answer(CompletionsUpstreamFixture.status(429, "{}"));
        wire.send(true, true);
        assertEquals("FULL", wire.next());
    }

    @Test
    void refusalCutShortProvesNothing() throws Exception {
        wire.engine =
                (socket, request) ->
                        socket.write("HTTP/1.1 503 X\r\ncontent-length: 10\r\n\r\n{")
                                .onSuccess(v -> socket.close());
        wire.send(true, true);
        assertEquals("CUT", wire.next());
    }

    @Test
    void stateUnknownIsNoState() throws Exception {
        answer(
                CompletionsUpstreamFixture.status(
                        409, "{\"error\":{\"code\":\"kv_state_unknown\"}}"));
        wire.send(false, true);
        assertEquals("NO_STATE", wire.next());
    }

    @Test
    void errorIsAFault() throws Exception {
        answer(CompletionsUpstreamFixture.status(500, "oops"));
        wire.send(false, true);
        assertEquals("FAULT", wire.next());
    }

    @Test
    void garbageIsAFault() throws Exception {
        answer(CompletionsUpstreamFixture.json("{\"choices\":["));
        wire.send(true, true);
        assertEquals("FAULT", wire.next());
        answer(
                CompletionsUpstreamFixture.STREAM_HEAD
                        + CompletionsUpstreamFixture.chunk("data: {\"choices\":[{\"te\n\n"));
        wire.send(false, true);
        assertEquals("FAULT", wire.next());
    }

    @Test
    void readWithoutAHandleIsAFault() throws Exception {
        answer(CompletionsUpstreamFixture.json("{\"choices\":[]}"));
        wire.send(true, true);
        assertEquals("FAULT", wire.next());
    }

    @Test
    void keptConnectionThatClosesBeforeAByteIsCut() throws Exception {
        answer(CompletionsUpstreamFixture.status(429, "{}"));
        wire.send(true, true);
        assertEquals("FULL", wire.next());
        wire.engine = (socket, request) -> socket.close();
        wire.send(true, true);
        assertEquals("CUT", wire.next());
    }

    @Test
    void streamBrokenBeforeItsFirstTokenIsCut() throws Exception {
        wire.engine =
                (socket, request) ->
                        socket.write(CompletionsUpstreamFixture.STREAM_HEAD)
                                .onSuccess(v -> socket.close());
        wire.send(false, true);
        assertEquals("CUT", wire.next());
    }

    @Test
    void streamBrokenInTheMiddleIsCut() throws Exception {
        wire.engine =
                (socket, request) ->
                        socket.write(
                                        CompletionsUpstreamFixture.STREAM_HEAD
                                                + CompletionsUpstreamFixture.piece("a", null))
                                .onSuccess(v -> socket.close());
        wire.send(false, true);
        assertEquals("begun", wire.next());
        assertEquals("piece a", wire.next());
        assertEquals("CUT", wire.next());
    }

    @Test
    void streamBrokenAfterItsLastTokenIsWhole() throws Exception {
        wire.engine =
                (socket, request) ->
                        socket.write(
                                        CompletionsUpstreamFixture.STREAM_HEAD
                                                + CompletionsUpstreamFixture.piece("a", "length"))
                                .onSuccess(v -> socket.close());
        wire.send(false, true);
        assertEquals("begun", wire.next());
        assertEquals("piece a", wire.next());
        assertEquals("STREAMED", wire.next());
        assertEquals(Completion.FinishReason.MAX_TOKENS, wire.ending.finishReason());
        assertEquals(1, wire.ending.outputTokens());
    }

    @Test
    void calledOffClosesTheConnectionAndTellsOnce() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        wire.engine =
                (socket, request) -> {
                    socket.closeHandler(v -> closed.complete(null));
                    arrived.complete(null);
                };
        UpstreamClient.AttemptHandle flight = wire.send(false, true);
        arrived.get(5, TimeUnit.SECONDS);
        wire.on(
                () -> {
                    flight.cancel();
                    flight.cancel();
                    flight.expire();
                    return null;
                });
        assertEquals("CANCELLED", wire.next());
        closed.get(5, TimeUnit.SECONDS);
        assertEquals(null, wire.told.poll(50, TimeUnit.MILLISECONDS));
    }

    @Test
    void timeUpIsTimedOut() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        wire.engine = (socket, request) -> arrived.complete(null);
        UpstreamClient.AttemptHandle flight = wire.send(false, true);
        arrived.get(5, TimeUnit.SECONDS);
        wire.on(
                () -> {
                    flight.expire();
                    return null;
                });
        assertEquals("TIMED_OUT", wire.next());
    }

    @Test
    void calledOffWhileItWaitsForAConnectionWasNeverSent() throws Exception {
        wire.send(true, true);
        UpstreamClient.AttemptHandle waits = wire.send(true, true);
        wire.on(
                () -> {
                    waits.cancel();
                    return null;
                });
        assertEquals("NOT_SENT", wire.next());
    }

    @Test
    void releaseIsTriedAgainUntilItIsHeard() throws Exception {
        AtomicInteger times = new AtomicInteger();
        wire.engine =
                (socket, request) -> {
                    if (times.incrementAndGet() < 3) {
                        socket.close();
                    } else {
                        socket.write(CompletionsUpstreamFixture.status(200, "{}"));
                    }
                };
        wire.on(
                () -> {
                    wire.link().release(wire.spot, "g.0");
                    return null;
                });
        for (int i = 0; i < 3; i++) {
            String asked = wire.asked.poll(5, TimeUnit.SECONDS);
            assertNotNull(asked);
            assertTrue(
                    asked.startsWith("POST /abort_request") && asked.contains("\"rid\":\"g.0\""),
                    asked);
        }
    }

    @Test
    void probeTellsTheLoadOrNothing() throws Exception {
        answer(
                CompletionsUpstreamFixture.status(
                        200, "vllm:num_requests_running 3\nvllm:num_requests_waiting 1\n"));
        CompletableFuture<LoadReport> told = new CompletableFuture<>();
        wire.on(
                () -> {
                    wire.link().probe(wire.spot, (answered, report) -> told.complete(report));
                    return null;
                });
        assertEquals(4, told.get(5, TimeUnit.SECONDS).inflight());
        wire.engine = (socket, request) -> {};
        CompletableFuture<LoadReport> silent = new CompletableFuture<>();
        wire.on(
                () -> {
                    wire.link().probe(wire.spot, (answered, report) -> silent.complete(report));
                    return null;
                });
        assertEquals(null, silent.get(5, TimeUnit.SECONDS));
    }
}
