package larchridge.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import larchridge.router.VirtualTimeScheduler;

/**
 * The engines of a warm-up: in-memory connections that respond to requests, to some of them with an
 * invalid response.
 */
final class WarmupEngines {
    private static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"},"
                    + "\"finish_reason\":null}]}\n\n";
    private static final String LAST_EVENTS =
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LOAD_REPORT = "concurrent=3,depth=1,x0=0.2,x1=1.5";
    private static final String READ_RESULT = "{\"cached_tokens\":1000}";
    private static final List<String> INVALID_RESPONSES =
            List.of(
                    "\u0001noise\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
    private static final int EVENTS_PER_STREAM = 12;

    /** One in this many responses is invalid. */
    private static final int INVALID_RESPONSE_PERIOD = 8;

    /** One in this many connections fails to open, as if file descriptors were exhausted. */
    private static final int FAILED_CONNECTION_PERIOD = 4;

    private static final int REQUEST_ID_HEADER_LENGTH = "Req-Id: 0123456789abcdef".length();

    private final VirtualTimeScheduler virtualTime;

    /** Latency of an engine for a response or an event, in virtual time. */
    private final double latencyMs;

    private final List<EmbeddedChannel> connections = new ArrayList<>();
    private final Set<EmbeddedChannel> responding = new HashSet<>();

    /** Id headers of the requests whose prompt has been read. */
    private final Set<String> readRequests = new HashSet<>();

    private int responses;
    private int opened;

    WarmupEngines(VirtualTimeScheduler virtualTime, double latencyMs) {
        this.virtualTime = virtualTime;
        this.latencyMs = latencyMs;
    }

    /** Opens a connection, or fails as if file descriptors were exhausted. */
    ChannelFuture open(ChannelInitializer<Channel> handlers) {
        EmbeddedChannel connection = new EmbeddedChannel(handlers);
        if (++opened % FAILED_CONNECTION_PERIOD == 0) {
            // Loads the classes of this failure path, which could no longer be loaded when there
            // really is no descriptor left.
            return connection.newFailedFuture(new ChannelException("warm-up: no descriptor"));
        }
        connections.add(connection);
        return connection.newSucceededFuture();
    }

    /** Reads the requests on all connections and schedules the responses. */
    void step() {
        for (EmbeddedChannel connection : List.copyOf(connections)) {
            connection.runPendingTasks();
            ByteBuf request = EmbeddedChannelBytes.readOutbound(connection);
            if (request != null) {
                String text = request.toString(StandardCharsets.ISO_8859_1);
                request.release();
                if (responding.add(connection)) {
                    virtualTime.schedule(latencyMs, () -> respond(connection, text));
                }
            }
            if (!connection.isOpen()) {
                connections.remove(connection);
            }
        }
    }

    private void respond(EmbeddedChannel connection, String request) {
        responding.remove(connection);
        if (!connection.isOpen()) {
            return;
        }
        if (++responses % INVALID_RESPONSE_PERIOD == 0) {
            send(connection, INVALID_RESPONSES.get(responses % INVALID_RESPONSES.size()));
        } else if (request.startsWith("GET")) {
            send(connection, withLength("HTTP/1.1 200 OK", LOAD_REPORT));
        } else if (request.startsWith("DELETE")) {
            send(connection, "HTTP/1.1 204 No Content\r\n\r\n");
        } else if (readRequests.add(requestId(request))) {
            send(connection, withLength("HTTP/1.1 202 Accepted", READ_RESULT));
        } else {
            streamEvent(connection, 0);
        }
    }

    private static String requestId(String request) {
        int start = request.indexOf("Req-Id");
        return request.substring(start, start + REQUEST_ID_HEADER_LENGTH);
    }

    private void streamEvent(EmbeddedChannel connection, int sent) {
        if (!connection.isOpen()) {
            return;
        }
        boolean last = sent >= EVENTS_PER_STREAM;
        String events = last ? LAST_EVENTS : EVENT;
        String chunk = Integer.toHexString(events.length()) + "\r\n" + events + "\r\n";
        send(connection, (sent == 0 ? STREAM_HEAD : "") + chunk + (last ? "0\r\n\r\n" : ""));
        if (!last) {
            virtualTime.schedule(latencyMs, () -> streamEvent(connection, sent + 1));
        }
    }

    private static String withLength(String statusLine, String body) {
        return statusLine + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void send(EmbeddedChannel connection, String text) {
        connection.writeInbound(EmbeddedChannelBytes.of(text));
    }
}
