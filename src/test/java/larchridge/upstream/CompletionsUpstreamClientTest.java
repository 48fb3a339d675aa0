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

/** Tests each outcome of an attempt over a real socket. */
class CompletionsUpstreamClientTest {
    private CompletionsUpstreamFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new CompletionsUpstreamFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private void respondWith(String text) {
        fixture.engine = (socket, request) -> socket.write(text);
    }

    @Test
    void readReportsItsStateAndCachedTokens() throws Exception {
        String body =
                "{\"kv_transfer_params\":{\"a\":1},\"usage\":{\"prompt_tokens\":9,"
                        + "\"prompt_tokens_details\":{\"cached_tokens\":5}}}";
        respondWith(
                "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT named_metrics.num_requests_running=2\r\n"
                        + "content-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
        fixture.sendRead();
        assertEquals("read 5", fixture.nextNotification());
        assertEquals(2, fixture.report.inflight());
        String request = fixture.requests.take();
        assertTrue(
                request.contains("\"do_remote_decode\":true")
                        && request.contains("\"max_tokens\":1"),
                request);
    }

    @Test
    void streamIsDeliveredEventByEventAlsoInSmallParts() throws Exception {
        String response =
                CompletionsUpstreamFixture.STREAM_HEAD
                        + CompletionsUpstreamFixture.textEvent("a\u00e1", null)
                        + CompletionsUpstreamFixture.textEvent("b", "stop")
                        + CompletionsUpstreamFixture.chunk("data: [DONE]\n\n")
                        + "0\r\n\r\n";
        fixture.engine = (socket, request) -> writeInSmallParts(socket, Buffer.buffer(response), 0);
        fixture.sendWrite();
        assertEquals("begun", fixture.nextNotification());
        assertEquals("text a\u00e1", fixture.nextNotification());
        assertEquals("text b", fixture.nextNotification());
        assertEquals("STREAMED", fixture.nextNotification());
        assertEquals(AnswerSummary.FinishReason.END_OF_TURN, fixture.answerSummary.finishReason());
    }

    @Test
    void eventsThatArriveTogetherAreBatched() throws Exception {
        String textEvents = CompletionsUpstreamFixture.textEvent("a", null).repeat(50);
        fixture.engine =
                (socket, request) ->
                        socket.write(CompletionsUpstreamFixture.STREAM_HEAD + textEvents);
        UpstreamClient.AttemptHandle attempt = fixture.sendWrite();
        assertEquals("begun", fixture.nextNotification());
        for (int i = 0; i < 50; i++) {
            assertEquals("text a", fixture.nextNotification());
        }
        fixture.onLoop(() -> null);
        int socketReadsCompleted = fixture.onLoop(fixture.socketReadsCompleted::get);
        assertTrue(
                socketReadsCompleted >= 1 && socketReadsCompleted < 25,
                socketReadsCompleted + " times");
        fixture.onLoop(
                () -> {
                    attempt.cancel();
                    return null;
                });
        assertEquals("CANCELLED", fixture.nextNotification());
    }

    private void writeInSmallParts(NetSocket socket, Buffer bytes, int from) {
        if (from < bytes.length()) {
            socket.write(bytes.getBuffer(from, Math.min(bytes.length(), from + 7)))
                    .onSuccess(v -> writeInSmallParts(socket, bytes, from + 7));
        }
    }

    @Test
    void refusedConnectionIsUnreachable() throws Exception {
        fixture.endpoint = new Endpoint("127.0.0.1", 1);
        fixture.sendRead();
        assertEquals("UNREACHABLE", fixture.nextNotification());
    }

    @Test
    void exhaustedPoolIsNotSent() throws Exception {
        fixture.sendRead();
        fixture.sendRead();
        fixture.sendRead();
        assertEquals("NOT_SENT", fixture.nextNotification());
    }

    @Test
    void attemptRejectedBeforeItIsWrittenIsNotSent() throws Exception {
        fixture.sendReadRejectedByCheck();
        assertEquals("NOT_SENT", fixture.nextNotification());
        assertTrue(fixture.requests.isEmpty());
    }

    @Test
    void tooManyRequestsIsFull() throws Exception {
        respondWith(CompletionsUpstreamFixture.response(429, "{}"));
        fixture.sendRead();
        assertEquals("FULL", fixture.nextNotification());
    }

    @Test
    void truncatedRejectionIsCut() throws Exception {
        fixture.engine =
                (socket, request) ->
                        socket.write("HTTP/1.1 503 X\r\ncontent-length: 10\r\n\r\n{")
                                .onSuccess(v -> socket.close());
        fixture.sendRead();
        assertEquals("CUT", fixture.nextNotification());
    }

    @Test
    void unknownStateIsNoState() throws Exception {
        respondWith(
                CompletionsUpstreamFixture.response(
                        409, "{\"error\":{\"code\":\"kv_state_unknown\"}}"));
        fixture.sendWrite();
        assertEquals("NO_STATE", fixture.nextNotification());
    }

    @Test
    void serverErrorIsAFault() throws Exception {
        respondWith(CompletionsUpstreamFixture.response(500, "oops"));
        fixture.sendWrite();
        assertEquals("FAULT", fixture.nextNotification());
    }

    @Test
    void malformedResponseIsAFault() throws Exception {
        respondWith(CompletionsUpstreamFixture.jsonResponse("{\"choices\":["));
        fixture.sendRead();
        assertEquals("FAULT", fixture.nextNotification());
        respondWith(
                CompletionsUpstreamFixture.STREAM_HEAD
                        + CompletionsUpstreamFixture.chunk("data: {\"choices\":[{\"te\n\n"));
        fixture.sendWrite();
        assertEquals("FAULT", fixture.nextNotification());
    }

    @Test
    void readWithoutAStateHandleIsAFault() throws Exception {
        respondWith(CompletionsUpstreamFixture.jsonResponse("{\"choices\":[]}"));
        fixture.sendRead();
        assertEquals("FAULT", fixture.nextNotification());
    }

    @Test
    void pooledConnectionThatClosesBeforeAByteIsCut() throws Exception {
        respondWith(CompletionsUpstreamFixture.response(429, "{}"));
        fixture.sendRead();
        assertEquals("FULL", fixture.nextNotification());
        fixture.engine = (socket, request) -> socket.close();
        fixture.sendRead();
        assertEquals("CUT", fixture.nextNotification());
    }

    @Test
    void streamLostBeforeItsFirstTokenIsCut() throws Exception {
        fixture.engine =
                (socket, request) ->
                        socket.write(CompletionsUpstreamFixture.STREAM_HEAD)
                                .onSuccess(v -> socket.close());
        fixture.sendWrite();
        assertEquals("CUT", fixture.nextNotification());
    }

    @Test
    void streamLostInTheMiddleIsCut() throws Exception {
        fixture.engine =
                (socket, request) ->
                        socket.write(
                                        CompletionsUpstreamFixture.STREAM_HEAD
                                                + CompletionsUpstreamFixture.textEvent("a", null))
                                .onSuccess(v -> socket.close());
        fixture.sendWrite();
        assertEquals("begun", fixture.nextNotification());
        assertEquals("text a", fixture.nextNotification());
        assertEquals("CUT", fixture.nextNotification());
    }

    @Test
    void streamLostAfterItsLastTokenIsStreamed() throws Exception {
        fixture.engine =
                (socket, request) ->
                        socket.write(
                                        CompletionsUpstreamFixture.STREAM_HEAD
                                                + CompletionsUpstreamFixture.textEvent(
                                                        "a", "length"))
                                .onSuccess(v -> socket.close());
        fixture.sendWrite();
        assertEquals("begun", fixture.nextNotification());
        assertEquals("text a", fixture.nextNotification());
        assertEquals("STREAMED", fixture.nextNotification());
        assertEquals(AnswerSummary.FinishReason.MAX_TOKENS, fixture.answerSummary.finishReason());
        assertEquals(1, fixture.answerSummary.outputTokens());
    }

    @Test
    void cancelClosesTheConnectionAndNotifiesOnce() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        fixture.engine =
                (socket, request) -> {
                    socket.closeHandler(v -> closed.complete(null));
                    arrived.complete(null);
                };
        UpstreamClient.AttemptHandle attempt = fixture.sendWrite();
        arrived.get(5, TimeUnit.SECONDS);
        fixture.onLoop(
                () -> {
                    attempt.cancel();
                    attempt.cancel();
                    attempt.expire();
                    return null;
                });
        assertEquals("CANCELLED", fixture.nextNotification());
        closed.get(5, TimeUnit.SECONDS);
        assertEquals(null, fixture.notifications.poll(50, TimeUnit.MILLISECONDS));
    }

    @Test
    void expiredAttemptIsTimedOut() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        fixture.engine = (socket, request) -> arrived.complete(null);
        UpstreamClient.AttemptHandle attempt = fixture.sendWrite();
        arrived.get(5, TimeUnit.SECONDS);
        fixture.onLoop(
                () -> {
                    attempt.expire();
                    return null;
                });
        assertEquals("TIMED_OUT", fixture.nextNotification());
    }

    @Test
    void attemptCancelledWhileWaitingForAConnectionIsNotSent() throws Exception {
        fixture.sendRead();
        UpstreamClient.AttemptHandle waiting = fixture.sendRead();
        fixture.onLoop(
                () -> {
                    waiting.cancel();
                    return null;
                });
        assertEquals("NOT_SENT", fixture.nextNotification());
    }

    @Test
    void releaseIsRetriedUntilAcknowledged() throws Exception {
        AtomicInteger times = new AtomicInteger();
        fixture.engine =
                (socket, request) -> {
                    if (times.incrementAndGet() < 3) {
                        socket.close();
                    } else {
                        socket.write(CompletionsUpstreamFixture.response(200, "{}"));
                    }
                };
        fixture.onLoop(
                () -> {
                    fixture.client().release(fixture.endpoint, "g.0");
                    return null;
                });
        for (int i = 0; i < 3; i++) {
            String request = fixture.requests.poll(5, TimeUnit.SECONDS);
            assertNotNull(request);
            assertTrue(
                    request.startsWith("POST /abort_request")
                            && request.contains("\"rid\":\"g.0\""),
                    request);
        }
    }

    @Test
    void probeReportsTheLoadOrNothing() throws Exception {
        respondWith(
                CompletionsUpstreamFixture.response(
                        200, "vllm:num_requests_running 3\nvllm:num_requests_waiting 1\n"));
        CompletableFuture<LoadReport> probed = new CompletableFuture<>();
        fixture.onLoop(
                () -> {
                    fixture.client()
                            .probe(
                                    fixture.endpoint,
                                    (succeeded, report) -> probed.complete(report));
                    return null;
                });
        assertEquals(4, probed.get(5, TimeUnit.SECONDS).inflight());
        fixture.engine = (socket, request) -> {};
        CompletableFuture<LoadReport> silent = new CompletableFuture<>();
        fixture.onLoop(
                () -> {
                    fixture.client()
                            .probe(
                                    fixture.endpoint,
                                    (succeeded, report) -> silent.complete(report));
                    return null;
                });
        assertEquals(null, silent.get(5, TimeUnit.SECONDS));
    }
}
