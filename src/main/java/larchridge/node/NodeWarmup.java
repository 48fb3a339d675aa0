package larchridge.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import larchridge.inventory.EngineEntry;
import larchridge.node.server.HttpServer;
import larchridge.node.server.ServerDependencies;
import larchridge.node.server.ServerLimits;
import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.node.upstream.UpstreamLimits;
import larchridge.policy.RoutingPolicy;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.router.VirtualTimeScheduler;
import larchridge.settings.DeploymentSettings;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.settings.InvalidSettingsException;
import larchridge.site.Site;
import larchridge.state.EndpointState;
import larchridge.state.Role;
import larchridge.upstream.Endpoint;

/**
 * Serves generations of its own before a node says that it can serve, so that the code they run
 * through is compiled. It has a front, a door and a link of its own over channels that are no
 * sockets, in a time of its own; nothing of it reaches anybody, and nothing of it stays.
 */
final class NodeWarmup {
    /**
     * What is rehearsed with: three kinds of engines with reports, as a deployment may have them.
     */
    static final String TERMS =
            "{\"az\":\"a\",\"family_info\":{\"aim_us_per_1000_prompt_tokens\":[40000],"
                    + "\"kv_tokens\":[200000,200000,200000],\"release_within_s\":1,\"stage_of_kind\":[\"read\",\"write\",\"both\"],"
                    + "\"token_aim_s\":[0.06]},\"host_types\":[\"r\",\"w\",\"b\"],"
                    + "\"invariants\":{\"cold_s\":10,\"cold_share\":0.5,\"overload_factor\":4,\"tip_after_s\":1},"
                    + "\"limits\":{\"dial_timeout_s\":0.25,\"keepalive_s\":15,\"max_attempts\":5,\"max_retry_after_s\":2,"
                    + "\"may_cancel\":true,\"may_probe\":true,\"parallel_tries\":true,\"retry_after\":true},\"n_instances\":3,"
                    + "\"reporting\":{\"fields\":[\"concurrent\",\"depth\",\"x0\",\"x1\"],\"source\":\"on_probe\"},"
                    + "\"request_classes\":[{\"give_up_s\":5,\"late_worth\":0.2,\"name\":\"p\",\"repeat\":\"pure\",\"slo_s\":1.2}]}";

    private static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"},"
                    + "\"finish_reason\":null}]}\n\n";
    private static final String END =
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    private static final int ENGINES = 12;
    private static final int EVENTS = 12;

    /**
     * So many good ones come with one that is not: of clients' requests, and of engines' answers.
     */
    private static final int BAD_EACH = 8;

    /** One in so many connections to engines can't be opened for want of a descriptor. */
    private static final int FAILED_EACH = 4;

    /** Engines take so long in rehearsed time; while it passes, others arrive. */
    private static final double STEP_MS = 7;

    private static final AttributeKey<Boolean> BUSY = AttributeKey.valueOf("rehearsal.busy");

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final HttpServer door;
    private final List<EmbeddedChannel> engines = new ArrayList<>();
    private final Set<EmbeddedChannel> answering = new HashSet<>();
    private final List<EmbeddedChannel> clients = new ArrayList<>();

    /** Those whose prompt was read already. */
    private final Set<String> reads = new HashSet<>();

    private int answers;
    private int asked;
    private int whole;
    private int opened;

    private NodeWarmup() throws InvalidSettingsException, IOException {
        DeploymentSettings given =
                DeploymentSettingsReader.read(new ObjectMapper().readTree(TERMS), 1);
        Scheduler ground = time.schedulerOf(0, given.routing().seed());
        Site site = Site.plain(given.routing());
        site.limit.openGenerations = 1000;
        site.limit.slowClientMs = 1e6;
        site.limit.quietStreamMs = 1e6;
        site.limit.stopMs = 1e6;
        site.releaseMs = given.releaseMs();
        NodeAudit audit = new NodeAudit(ground, given);
        ForwardingUpstreamClient link =
                new ForwardingUpstreamClient(
                        ground,
                        new UpstreamLimits(
                                given.connectMs(),
                                given.keepAliveMs(),
                                given.releaseMs(),
                                400,
                                200,
                                given.reportFields()),
                        (endpoint, handlers) -> {
                            EmbeddedChannel engine = new EmbeddedChannel(handlers);
                            if (++opened % FAILED_EACH == 0) {
                                // The classes for this could not be loaded any more where there
                                // really is no descriptor left.
                                return engine.newFailedFuture(
                                        new ChannelException("rehearsed: no descriptor"));
                            }
                            engines.add(engine);
                            return engine.newSucceededFuture();
                        },
                        audit.events());
        Router front = new Router(ground, site, 0, link, audit.meters(), RoutingPolicy::new);
        door =
                new HttpServer(
                        new ServerDependencies(
                                ground,
                                front,
                                site,
                                given.trafficClasses().values(),
                                new ServerLimits(400, 1 << 18, 1 << 22, 1e6, 1e6, 1e6, 1e6),
                                audit.events(),
                                audit.meters()));
        List<EngineEntry> rows = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Role role = i % 3 == 0 ? Role.READER : i % 3 == 1 ? Role.WRITER : Role.BOTH;
            rows.add(
                    new EngineEntry(
                            i + 1,
                            "e" + i,
                            1,
                            role,
                            i % 2 == 0 ? "a" : "b",
                            i / 4,
                            1,
                            200_000,
                            i == 11 ? time.nowMs() : 0,
                            EndpointState.READY));
        }
        audit.listed(rows);
        link.updateEndpoints(
                rows.stream().map(row -> new Endpoint(row.host(), row.port())).toList());
        front.endpointsChanged(rows);
    }

    /**
     * Serves so many generations, or fewer if the time, in real milliseconds, is up; gives how many
     * were served whole.
     */
    static int play(int generations, double mostMs) {
        NodeWarmup rehearsal;
        try {
            rehearsal = new NodeWarmup();
        } catch (InvalidSettingsException | IOException e) {
            throw new IllegalStateException(
                    "the rehearsal's own settings are not good: " + e.getMessage(), e);
        }
        long end = System.nanoTime() + (long) (mostMs * 1e6);
        while (rehearsal.asked < generations && System.nanoTime() < end) {
            rehearsal.ask();
            if (rehearsal.asked % BAD_EACH == 0) {
                rehearsal.bad(rehearsal.asked / BAD_EACH);
            }
            rehearsal.step();
        }
        for (int i = 0; i < 200 && rehearsal.whole < rehearsal.asked; i++) {
            rehearsal.step();
        }
        return rehearsal.whole;
    }

    private void ask() {
        EmbeddedChannel client =
                clients.stream()
                        .filter(one -> one.attr(BUSY).get() == null)
                        .findFirst()
                        .orElse(null);
        if (client == null) {
            client = new EmbeddedChannel();
            clients.add(client);
            door.addConnection(client);
        }
        client.attr(BUSY).set(true);
        String body =
                "{\"model\":\"p\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\""
                        + "abcd".repeat(500)
                        + "\"}]}";
        client.writeInbound(
                bytes(
                        "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nReq-Id: "
                                + String.format("%016x", asked)
                                + "\r\nReq-Kind: p\r\nReq-Key: k"
                                + asked % 40
                                + "\r\nReq-Deadline-Ms: 4800\r\nReq-Extra: prefix=x"
                                + asked % 9
                                + ",prompt_len=2000,prefix_len=1000,max_out=200\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body));
        asked++;
    }

    /** A client that sends what is refused, or leaves. */
    private void bad(int which) {
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\n";
        String text =
                switch (which % 8) {
                    case 0 -> head + "Content-Length: -4\r\n\r\n";
                    case 1 -> head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
                    case 2 -> head + "Content-Length: 60000000\r\n\r\n";
                    case 3 -> head + "Req-Id: x\r\nContent-Length: 2\r\n\r\n{}";
                    case 4 -> "\u0001\u0002\u0003\r\n\r\n";
                    case 5 -> head + "A: " + "b".repeat(20_000);
                    case 6 -> head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n";
                    default -> head + "Content-Length: 20\r\n\r\nhalf";
                };
        EmbeddedChannel client = new EmbeddedChannel();
        door.addConnection(client);
        client.writeInbound(bytes(text));
        client.runPendingTasks();
        ByteBuf answer = read(client);
        if (answer != null) {
            answer.release();
        }
        client.close();
    }

    /**
     * Some rehearsed time passes; engines answer what they were sent, and clients take what they
     * are given.
     */
    private void step() {
        time.run(time.sinceMs() + STEP_MS);
        for (EmbeddedChannel engine : List.copyOf(engines)) {
            engine.runPendingTasks();
            ByteBuf request = read(engine);
            if (request != null) {
                String text = request.toString(StandardCharsets.ISO_8859_1);
                request.release();
                if (answering.add(engine)) {
                    time.schedule(STEP_MS, () -> answer(engine, text));
                }
            }
            if (!engine.isOpen()) {
                engines.remove(engine);
            }
        }
        for (EmbeddedChannel client : List.copyOf(clients)) {
            client.runPendingTasks();
            ByteBuf answer = read(client);
            if (answer != null) {
                String text = answer.toString(StandardCharsets.ISO_8859_1);
                answer.release();
                if (text.endsWith("0\r\n\r\n") || text.contains("HTTP/1.1 50")) {
                    whole += text.endsWith("0\r\n\r\n") ? 1 : 0;
                    client.attr(BUSY).set(null);
                }
            }
            if (!client.isOpen()) {
                clients.remove(client);
            }
        }
    }

    private void answer(EmbeddedChannel engine, String request) {
        answering.remove(engine);
        if (!engine.isOpen()) {
            return;
        }
        if (++answers % BAD_EACH == 0) {
            engine.writeInbound(
                    bytes(
                            answers % 3 == 0
                                    ? "\u0001noise\r\n\r\n"
                                    : answers % 3 == 1
                                            ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
                                            : "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"));
            return;
        }
        if (request.startsWith("GET")) {
            String load = "concurrent=3,depth=1,x0=0.2,x1=1.5";
            engine.writeInbound(
                    bytes(
                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                    + load.length()
                                    + "\r\n\r\n"
                                    + load));
        } else if (request.startsWith("DELETE")) {
            engine.writeInbound(bytes("HTTP/1.1 204 No Content\r\n\r\n"));
        } else if (reads.add(
                request.substring(request.indexOf("Req-Id"), request.indexOf("Req-Id") + 24))) {
            String kept = "{\"cached_tokens\":1000}";
            engine.writeInbound(
                    bytes(
                            "HTTP/1.1 202 Accepted\r\nContent-Length: "
                                    + kept.length()
                                    + "\r\n\r\n"
                                    + kept));
        } else {
            stream(engine, 0);
        }
    }

    private void stream(EmbeddedChannel engine, int sent) {
        if (!engine.isOpen()) {
            return;
        }
        String event = sent < EVENTS ? EVENT : END;
        String text =
                (sent == 0
                                ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                                : "")
                        + Integer.toHexString(event.length())
                        + "\r\n"
                        + event
                        + "\r\n"
                        + (sent < EVENTS ? "" : "0\r\n\r\n");
        engine.writeInbound(bytes(text));
        if (sent < EVENTS) {
            time.schedule(STEP_MS, () -> stream(engine, sent + 1));
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static ByteBuf read(EmbeddedChannel channel) {
        ByteBuf all = null;
        for (Object part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            ByteBuf bytes = (ByteBuf) part;
            all = all == null ? Unpooled.buffer(256) : all;
            all.writeBytes(bytes);
            bytes.release();
        }
        return all;
    }
}
