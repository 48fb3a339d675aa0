package larchridge.upstream;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import larchridge.site.SiteLimits;
import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;

/**
 * An engine whose every byte a test decides, a link to it, and ears that write down what the link
 * tells.
 */
final class CompletionsUpstreamFixture implements AutoCloseable {
    static final String JSON_HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
    final Vertx vertx = Vertx.vertx();
    final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
    final SiteLimits limit = new SiteLimits();
    volatile BiConsumer<NetSocket, String> engine = (socket, request) -> {};
    volatile Completion ending;
    volatile LoadReport report;
    Endpoint spot;
    private final Context loop = vertx.getOrCreateContext();
    private final NetServer server;
    private CompletionsUpstreamClient link;

    CompletionsUpstreamFixture() throws Exception {
        limit.connectMs = 400;
        limit.keepAliveMs = 5000;
        limit.connectionsPerEngine = 1;
        limit.connectionWaits = 1;
        limit.probeMs = 300;
        server =
                vertx.createNetServer()
                        .connectHandler(
                                socket -> {
                                    Buffer seen = Buffer.buffer();
                                    socket.exceptionHandler(e -> {});
                                    socket.handler(
                                            part -> {
                                                seen.appendBuffer(part);
                                                String text = seen.toString();
                                                int head = text.indexOf("\r\n\r\n");
                                                int length = head < 0 ? -1 : length(text);
                                                if (head >= 0
                                                        && text.length() >= head + 4 + length) {
                                                    asked.add(text);
                                                    String whole = text;
                                                    seen.setString(0, "");
                                                    engine.accept(socket, whole);
                                                }
                                            });
                                });
        server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        spot = new Endpoint("127.0.0.1", server.actualPort());
        on(() -> link = new CompletionsUpstreamClient(vertx, limit));
    }

    private static int length(String text) {
        for (String line : text.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).strip());
            }
        }
        return 0;
    }

    /** Runs something on the link's loop. */
    <T> T on(Supplier<T> act) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.runOnContext(
                v -> {
                    try {
                        done.complete(act.get());
                    } catch (RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get(5, TimeUnit.SECONDS);
    }

    CompletionsUpstreamClient link() {
        return link;
    }

    final java.util.concurrent.atomic.AtomicInteger soFar =
            new java.util.concurrent.atomic.AtomicInteger();

    UpstreamClient.AttemptHandle send(boolean read, boolean mayBeSent) throws Exception {
        AttemptRequest order =
                new AttemptRequest(
                        "g.0",
                        spot,
                        "m",
                        "p",
                        4,
                        List.of(),
                        new AttemptRequest.Sampling(null, null, null),
                        null,
                        null,
                        null,
                        () -> mayBeSent ? null : larchridge.upstream.SendRejection.ENGINE_LEFT);
        AttemptListener ears =
                new AttemptListener() {
                    @Override
                    public void readCompleted(
                            StateHandle state, int keptTokens, int promptTokens, LoadReport told2) {
                        report = told2;
                        told.add("read " + keptTokens);
                    }

                    @Override
                    public void responseStarted() {
                        told.add("begun");
                    }

                    @Override
                    public void textReceived(String text) {
                        told.add("piece " + text);
                    }

                    @Override
                    public void batchCompleted() {
                        soFar.incrementAndGet();
                    }

                    @Override
                    public void attemptEnded(
                            AttemptOutcome outcome, LoadReport told2, Completion how) {
                        ending = how;
                        report = told2;
                        told.add(outcome.name());
                    }
                };
        return on(() -> read ? link.read(order, ears) : link.write(order, ears));
    }

    String next() throws InterruptedException {
        String word = told.poll(5, TimeUnit.SECONDS);
        return word == null ? "nothing" : word;
    }

    static String json(String body) {
        return JSON_HEAD + "content-length: " + body.length() + "\r\n\r\n" + body;
    }

    static String status(int status, String body) {
        return "HTTP/1.1 " + status + " X\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                    + "transfer-encoding: chunked\r\n\r\n";

    static String chunk(String data) {
        return Integer.toHexString(data.getBytes(StandardCharsets.UTF_8).length)
                + "\r\n"
                + data
                + "\r\n";
    }

    static String piece(String text, String reason) {
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
}
