package larchridge.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.AttributeKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import larchridge.node.server.HttpServer;

/** The clients of a warm-up: in-memory connections that send valid and invalid requests. */
final class WarmupClients {
    private static final AttributeKey<Boolean> BUSY = AttributeKey.valueOf("warmup.busy");
    private static final String REQUEST_HEAD_START =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\n";
    private static final String BODY =
            "{\"model\":\"p\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\""
                    + "abcd".repeat(500)
                    + "\"}]}";

    /** Requests that are rejected or never completed; each is sent on a connection of its own. */
    private static final List<String> INVALID_REQUESTS =
            List.of(
                    REQUEST_HEAD_START + "Content-Length: -4\r\n\r\n",
                    REQUEST_HEAD_START + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
                    REQUEST_HEAD_START + "Content-Length: 60000000\r\n\r\n",
                    REQUEST_HEAD_START + "Req-Id: x\r\nContent-Length: 2\r\n\r\n{}",
                    "\u0001\u0002\u0003\r\n\r\n",
                    REQUEST_HEAD_START + "A: " + "b".repeat(20_000),
                    REQUEST_HEAD_START + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                    REQUEST_HEAD_START + "Content-Length: 20\r\n\r\nhalf");

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int SESSION_KEYS = 40;
    private static final int PREFIXES = 9;

    private final HttpServer server;
    private final List<EmbeddedChannel> connections = new ArrayList<>();
    private int sent;
    private int completed;

    WarmupClients(HttpServer server) {
        this.server = server;
    }

    /** Number of valid requests sent so far. */
    int sent() {
        return sent;
    }

    /** Number of valid requests whose response is complete. */
    int completed() {
        return completed;
    }

    /** Sends a valid request on a connection without a request in flight. */
    void send() {
        EmbeddedChannel client =
                connections.stream()
                        .filter(connection -> connection.attr(BUSY).get() == null)
                        .findFirst()
                        .orElse(null);
        if (client == null) {
            client = new EmbeddedChannel();
            connections.add(client);
            server.addConnection(client);
        }
        client.attr(BUSY).set(true);
        client.writeInbound(
                EmbeddedChannelBytes.of(
                        REQUEST_HEAD_START
                                + "Req-Id: "
                                + String.format("%016x", sent)
                                + "\r\nReq-Kind: p\r\nReq-Key: k"
                                + sent % SESSION_KEYS
                                + "\r\nReq-Deadline-Ms: 4800\r\nReq-Extra: prefix=x"
                                + sent % PREFIXES
                                + ",prompt_len=2000,prefix_len=1000,max_out=200\r\nContent-Length: "
                                + BODY.length()
                                + "\r\n\r\n"
                                + BODY));
        sent++;
    }

    /** Sends a request that is rejected or incomplete, and closes its connection. */
    void sendInvalid(int number) {
        EmbeddedChannel client = new EmbeddedChannel();
        server.addConnection(client);
        client.writeInbound(
                EmbeddedChannelBytes.of(INVALID_REQUESTS.get(number % INVALID_REQUESTS.size())));
        client.runPendingTasks();
        ByteBuf response = EmbeddedChannelBytes.readOutbound(client);
        if (response != null) {
            response.release();
        }
        client.close();
    }

    /** Processes the responses on all connections. */
    void step() {
        for (EmbeddedChannel client : List.copyOf(connections)) {
            client.runPendingTasks();
            ByteBuf response = EmbeddedChannelBytes.readOutbound(client);
            if (response != null) {
                String text = response.toString(StandardCharsets.ISO_8859_1);
                response.release();
                processResponse(client, text);
            }
            if (!client.isOpen()) {
                connections.remove(client);
            }
        }
    }

    private void processResponse(EmbeddedChannel client, String text) {
        boolean streamComplete = text.endsWith(LAST_CHUNK);
        if (streamComplete) {
            completed++;
        }
        if (streamComplete || text.contains("HTTP/1.1 50")) {
            client.attr(BUSY).set(null);
        }
    }
}
