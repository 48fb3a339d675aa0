package larchridge.upstream;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import larchridge.site.SiteLimits;
import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;

/**
 * A client connected to an engine whose responses are scripted byte by byte, and a listener that
 * records its notifications as text.
 */
final class CompletionsUpstreamFixture implements AutoCloseable {
    static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                    + "transfer-encoding: chunked\r\n\r\n";
    static final String JSON_HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
    final Vertx vertx = Vertx.vertx();
    final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    final AtomicInteger socketReadsCompleted = new AtomicInteger();
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    final SiteLimits limits = new SiteLimits();
    volatile BiConsumer<NetSocket, String> engine = (socket, request) -> {};
    volatile AnswerSummary answerSummary;
    volatile LoadReport report;
    Endpoint endpoint;
    private final Context loop = vertx.getOrCreateContext();
    private final AttemptListener listener = new RecordingListener();
    private final NetServer server;
    private CompletionsUpstreamClient client;

    CompletionsUpstreamFixture() throws Exception {
        limits.connectTimeoutMs = 400;
        limits.keepAliveTimeoutMs = 5000;
        limits.maxConnectionsPerEngine = 1;
        limits.maxWaitingForConnection = 1;
        limits.probeTimeoutMs = 300;
        server = vertx.createNetServer().connectHandler(this::connected);
        server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        endpoint = new Endpoint("127.0.0.1", server.actualPort());
        onLoop(() -> client = new CompletionsUpstreamClient(vertx, limits));
    }

    private void connected(NetSocket socket) {
        Buffer received = Buffer.buffer();
        socket.exceptionHandler(e -> {});
        socket.handler(
                part -> {
                    received.appendBuffer(part);
                    String text = received.toString();
                    int headEnd = text.indexOf("\r\n\r\n");
                    int length = headEnd < 0 ? -1 : contentLength(text);
                    if (headEnd >= 0 && text.length() >= headEnd + 4 + length) {
                        requests.add(text);
                        received.setString(0, "");
                        engine.accept(socket, text);
                    }
                });
    }

    private static int contentLength(String text) {
        for (String line : text.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).strip());
            }
        }
        return 0;
    }

    /** Runs an action on the client's event loop. */
    <T> T onLoop(Supplier<T> action) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.runOnContext(
                v -> {
                    try {
                        done.complete(action.get());
                    } catch (RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get(5, TimeUnit.SECONDS);
    }

    CompletionsUpstreamClient client() {
        return client;
    }

    /** Sends a read attempt. */
    UpstreamClient.AttemptHandle sendRead() throws Exception {
        return onLoop(() -> client.read(attemptRequest(null), listener));
    }

    /** Sends a read attempt that the send check rejects. */
    UpstreamClient.AttemptHandle sendReadRejectedByCheck() throws Exception {
        return onLoop(
                () -> client.read(attemptRequest(SendRejection.ENDPOINT_UNAVAILABLE), listener));
    }

    /** Sends a write attempt. */
    UpstreamClient.AttemptHandle sendWrite() throws Exception {
        return onLoop(() -> client.write(attemptRequest(null), listener));
    }

    private AttemptRequest attemptRequest(SendRejection rejection) {
        return new AttemptRequest(
                "g.0",
                endpoint,
                "m",
                "p",
                4,
                List.of(),
                new AttemptRequest.Sampling(null, null, null),
                null,
                null,
                null,
                () -> rejection);
    }

    /** Returns the listener's next notification, or "nothing" if none arrives in time. */
    String nextNotification() throws InterruptedException {
        String notification = notifications.poll(5, TimeUnit.SECONDS);
        return notification == null ? "nothing" : notification;
    }

    static String jsonResponse(String body) {
        return JSON_HEAD + "content-length: " + body.length() + "\r\n\r\n" + body;
    }

    static String response(int status, String body) {
        return "HTTP/1.1 " + status + " X\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    static String chunk(String data) {
        return Integer.toHexString(data.getBytes(StandardCharsets.UTF_8).length)
                + "\r\n"
                + data
                + "\r\n";
    }

    static String textEvent(String text, String reason) {
        return chunk(
                "data: {\"choices\":[{\"text\":\""
                        + text
                        + "\",\"finish_reason\":"
                        + (reason == null ? "null" : "\"" + reason + "\"")
                        + "}]}\n\n");
    }

    @Override
    public void close() {
        vertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(5, TimeUnit.SECONDS)
                .join();
    }

    private final class RecordingListener implements AttemptListener {
        @Override
        public void readCompleted(
                StateHandle state, int cachedTokens, int promptTokens, LoadReport loadReport) {
            report = loadReport;
            notifications.add("read " + cachedTokens);
        }

        @Override
        public void responseStarted() {
            notifications.add("begun");
        }

        @Override
        public void textReceived(String text) {
            notifications.add("text " + text);
        }

        @Override
        public void socketReadCompleted() {
            socketReadsCompleted.incrementAndGet();
        }

        @Override
        public void attemptEnded(
                AttemptOutcome outcome, LoadReport loadReport, AnswerSummary endedSummary) {
            answerSummary = endedSummary;
            report = loadReport;
            notifications.add(outcome.name());
        }
    }
}
