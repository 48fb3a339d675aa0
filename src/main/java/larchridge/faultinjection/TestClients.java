package larchridge.faultinjection;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import larchridge.systemtest.TrafficEvent;
import larchridge.systemtest.TrafficLog;

/**
 * Clients of the nodes: an open loop of requests over persistent connections, and clients that
 * disconnect, stall in the middle of a request or only connect. They record what they see in the
 * traffic log. All methods run on the event loop of the test harness.
 */
final class TestClients {
    /**
     * New connections are opened to a node for this long after SIGTERM; persistent ones are used as
     * long as they stay open.
     */
    private static final double NEW_CONNECTION_GRACE_MS = 400;

    private static final int IDLE_CONNECTIONS = 60;
    private static final int STALLED_CLIENTS = 5;
    private static final int RECOVERY_REQUESTS = 3;
    private static final long RECOVERY_TIMEOUT_MS = 4500;

    /**
     * A stalled client has to receive an error or a close within this time, plus the slack of its
     * check.
     */
    static final double STALLED_CLIENT_TIMEOUT_MS = 3000;

    private static final String BODY =
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":40,\"messages\":[]}";

    /** A class of requests, with its share of the load. */
    record RequestClass(String name, int deadlineMs, double share) {}

    private final EventLoopGroup loop;
    private final TrafficLog log;
    private final List<TestNode> nodes;
    private final List<RequestClass> classes;
    private final Random random;
    private final List<Deque<Connection>> idle = new ArrayList<>();
    private final List<String> stalledClientViolations = new ArrayList<>();
    private boolean disconnecting;
    private boolean dropResponses;
    private long requests;
    int completedResponses;

    TestClients(
            EventLoopGroup loop,
            TrafficLog log,
            List<TestNode> nodes,
            List<RequestClass> classes,
            long seed) {
        this.loop = loop;
        this.log = log;
        this.nodes = nodes;
        this.classes = classes;
        random = new Random(seed);
        nodes.forEach(node -> idle.add(new ArrayDeque<>()));
    }

    /** Sets whether some clients disconnect before their response is complete. */
    void setDisconnecting(boolean on) {
        disconnecting = on;
    }

    /** Planted fault: every other response is discarded before its client sees it. */
    void setDropResponses(boolean on) {
        dropResponses = on;
    }

    /**
     * Sends a few requests to one node. Reports whether at least one of them received a complete
     * response.
     */
    void checkServing(TestNode node, java.util.function.Consumer<Boolean> callback) {
        int[] left = {RECOVERY_REQUESTS};
        boolean[] served = new boolean[1];
        for (int i = 0; i < RECOVERY_REQUESTS; i++) {
            Exchange exchange =
                    new Exchange(String.format("%016x", random.nextLong()), classes.get(0), node);
            exchange.onFinished =
                    whole -> {
                        served[0] |= whole;
                        if (--left[0] == 0) {
                            callback.accept(served[0]);
                        }
                    };
            requests++;
            exchange.begin();
        }
        loop.next()
                .schedule(
                        () -> {
                            if (left[0] > 0) {
                                callback.accept(served[0]);
                            }
                        },
                        RECOVERY_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    List<String> stalledClientViolations() {
        return stalledClientViolations;
    }

    /** Sends one request to a random node that accepts requests. */
    void send() {
        double now = log.nowMs();
        Predicate<TestNode> acceptsRequests =
                node ->
                        node.state == TestNode.State.UP
                                || (node.state == TestNode.State.TERMINATING
                                        && (now < node.terminatedMs + NEW_CONNECTION_GRACE_MS
                                                || !idle.get(node.number).isEmpty()));
        List<TestNode> candidates = nodes.stream().filter(acceptsRequests).toList();
        if (!candidates.isEmpty()) {
            TestNode node = candidates.get(random.nextInt(candidates.size()));
            double draw = random.nextDouble();
            RequestClass requestClass = classes.get(classes.size() - 1);
            for (RequestClass candidate : classes) {
                draw -= candidate.share;
                if (draw < 0) {
                    requestClass = candidate;
                    break;
                }
            }
            requests++;
            new Exchange(String.format("%016x", random.nextLong()), requestClass, node).begin();
        }
    }

    /**
     * One request, sent over one connection, or over a second one if the first closed while the
     * request was being written.
     */
    private final class Exchange {
        private final String id;
        private final RequestClass requestClass;
        private final TestNode node;
        private final boolean disconnects = disconnecting && random.nextInt(3) == 0;
        private boolean sentOnce;
        private boolean responseStarted;
        private boolean finished;
        private boolean retried;
        private java.util.function.Consumer<Boolean> onFinished = whole -> {};

        Exchange(String id, RequestClass requestClass, TestNode node) {
            this.id = id;
            this.requestClass = requestClass;
            this.node = node;
        }

        void begin() {
            Connection reused = retried ? null : idle.get(node.number).pollFirst();
            if (reused != null && reused.channel.isActive()) {
                reused.start(this);
                return;
            }
            Connection newConnection = new Connection(node);
            newConnection
                    .open()
                    .addListener(
                            (ChannelFuture done) -> {
                                if (done.isSuccess()) {
                                    newConnection.start(this);
                                } else if (sentOnce) {
                                    // The request was sent before, on a persistent connection
                                    // that closed; no node accepts it now.
                                    logEvent(TrafficEvent.Kind.LEFT, null);
                                    finished = true;
                                }
                            });
        }

        void logEvent(TrafficEvent.Kind eventKind, String detail) {
            log.add(
                    eventKind,
                    node.number,
                    null,
                    TestEngine.tag(id),
                    requestClass.deadlineMs,
                    detail);
        }

        void onSent(Connection connection) {
            if (!sentOnce) {
                sentOnce = true;
                logEvent(TrafficEvent.Kind.ASKED, requestClass.name);
            }
            if (disconnects) {
                loop.next()
                        .schedule(
                                () -> {
                                    if (!finished) {
                                        finished = true;
                                        logEvent(TrafficEvent.Kind.LEFT, null);
                                        connection.close();
                                    }
                                },
                                5 + random.nextInt(400),
                                TimeUnit.MILLISECONDS);
            }
        }

        void finish(String outcome) {
            if (finished) {
                logEvent(TrafficEvent.Kind.AFTER_FINAL, outcome);
                return;
            }
            finished = true;
            onFinished.accept(outcome.equals("streamed"));
            completedResponses += outcome.equals("streamed") ? 1 : 0;
            logEvent(TrafficEvent.Kind.FINAL, outcome);
        }

        /** Handles a connection that closed before the end of the response. */
        void onConnectionClosed(boolean reused) {
            if (finished) {
                return;
            }
            if (responseStarted) {
                finish("terminated");
            } else if (reused && !retried) {
                retried = true;
                begin();
            } else {
                finished = true;
                // A terminating node may close a second, new connection without reading from it.
                logEvent(
                        retried && node.state != TestNode.State.UP
                                ? TrafficEvent.Kind.LEFT
                                : TrafficEvent.Kind.LOST,
                        null);
            }
        }
    }

    /** One HTTP connection to a node. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final TestNode node;
        private Channel channel;
        private Exchange exchange;
        private int served;
        private int status;
        private boolean closeAfterResponse;
        private final StringBuilder responseTail = new StringBuilder();

        Connection(TestNode node) {
            this.node = node;
        }

        ChannelFuture open() {
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel own) {
                                            own.pipeline()
                                                    .addLast(
                                                            new HttpResponseDecoder(),
                                                            Connection.this);
                                        }
                                    })
                            .connect("127.0.0.1", node.port);
            channel = connecting.channel();
            return connecting;
        }

        void start(Exchange next) {
            exchange = next;
            status = 0;
            responseTail.setLength(0);
            String head =
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nReq-Id: "
                            + next.id
                            + "\r\nReq-Kind: "
                            + next.requestClass.name
                            + "\r\nReq-Key: k"
                            + next.id.charAt(3)
                            + "\r\nReq-Deadline-Ms: "
                            + next.requestClass.deadlineMs
                            + "\r\nReq-Extra: prefix=p"
                            + next.id.charAt(5)
                            + ",prompt_len=400,prefix_len=100,max_out=40\r\nContent-Length: "
                            + BODY.length()
                            + "\r\n\r\n"
                            + BODY;
            channel.writeAndFlush(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1))
                    .addListener(
                            done -> {
                                if (done.isSuccess()) {
                                    next.onSent(this);
                                }
                            });
        }

        void close() {
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (exchange == null || (dropResponses && exchange.id.charAt(0) % 2 == 0)) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                exchange.logEvent(TrafficEvent.Kind.MALFORMED, "answer");
                close();
                return;
            }
            if (part instanceof HttpResponse response) {
                status = response.status().code();
                closeAfterResponse = "close".equalsIgnoreCase(response.headers().get("Connection"));
            }
            if (part instanceof HttpContent content) {
                body(content);
            }
        }

        private void body(HttpContent content) {
            if (status == 200 && content.content().isReadable()) {
                if (!exchange.responseStarted && !exchange.finished) {
                    exchange.responseStarted = true;
                    exchange.logEvent(TrafficEvent.Kind.BEGUN, null);
                }
                responseTail.append(content.content().toString(StandardCharsets.ISO_8859_1));
                if (responseTail.length() > 64) {
                    responseTail.delete(0, responseTail.length() - 64);
                }
            }
            if (content instanceof LastHttpContent) {
                Exchange ended = exchange;
                exchange = null;
                if (status == 200) {
                    if (responseTail.toString().endsWith("data: [DONE]\n\n")) {
                        ended.finish("streamed");
                    } else {
                        ended.logEvent(
                                TrafficEvent.Kind.MALFORMED,
                                "an incomplete stream was ended like a complete one");
                        ended.finish("terminated");
                    }
                } else {
                    ended.finish(status == 503 || status == 429 ? "throttled" : "terminated");
                }
                served++;
                if (!closeAfterResponse) {
                    idle.get(node.number).addFirst(this);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.get(node.number).remove(this);
            Exchange ended = exchange;
            exchange = null;
            if (ended != null) {
                ended.onConnectionClosed(served > 0 && status == 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    // ------------------------------------------------------------------ misbehaving clients

    /** Starts clients that send a part of a request and then stall. */
    void startStalledClients(TestNode node) {
        if (node.state != TestNode.State.UP) {
            return;
        }
        for (int i = 0; i < STALLED_CLIENTS; i++) {
            String head =
                    "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: "
                            + String.format("%016x", random.nextLong())
                            + "\r\nReq-Kind: "
                            + classes.get(0).name
                            + "\r\nReq-Deadline-Ms: 4000\r\nContent-Length: 500\r\n\r\n{\"model\"";
            int firstPartLength = random.nextInt(head.length());
            double startedMs = log.nowMs();
            boolean[] ended = new boolean[1];
            RawConnection connection = new RawConnection(() -> ended[0] = true);
            connection.connect(
                    node.port,
                    channel -> {
                        channel.writeAndFlush(
                                Unpooled.copiedBuffer(
                                        head.substring(0, firstPartLength),
                                        StandardCharsets.ISO_8859_1));
                        loop.next()
                                .schedule(
                                        () ->
                                                channel.writeAndFlush(
                                                        Unpooled.copiedBuffer(
                                                                head.substring(firstPartLength),
                                                                StandardCharsets.ISO_8859_1)),
                                        200 + random.nextInt(1700),
                                        TimeUnit.MILLISECONDS);
                    });
            int startCount = node.startCount;
            loop.next()
                    .schedule(
                            () -> {
                                if (!ended[0]
                                        && node.state == TestNode.State.UP
                                        && node.startCount == startCount) {
                                    stalledClientViolations.add(
                                            "node "
                                                    + node.number
                                                    + ": a client that stalled at "
                                                    + Math.round(startedMs)
                                                    + " ms got no error and no close in 3.3 s");
                                }
                                connection.close();
                            },
                            (long) STALLED_CLIENT_TIMEOUT_MS + 300,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Opens many connections at the same time and sends nothing on them. */
    void openIdleConnections(TestNode node, double lengthMs) {
        for (int i = 0; i < IDLE_CONNECTIONS; i++) {
            RawConnection connection = new RawConnection(() -> {});
            connection.connect(node.port, channel -> {});
            loop.next().schedule(connection::close, (long) lengthMs, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * A connection that does not read responses; it counts as finished at the first byte or at the
     * close.
     */
    private final class RawConnection extends io.netty.channel.ChannelInboundHandlerAdapter {
        private final Runnable onFinished;
        private Channel channel;

        RawConnection(Runnable onFinished) {
            this.onFinished = onFinished;
        }

        void connect(int port, java.util.function.Consumer<Channel> connected) {
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(this)
                            .connect("127.0.0.1", port);
            channel = connecting.channel();
            connecting.addListener(
                    done -> {
                        if (done.isSuccess()) {
                            connected.accept(channel);
                        } else {
                            onFinished.run();
                        }
                    });
        }

        void close() {
            channel.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            io.netty.util.ReferenceCountUtil.release(message);
            onFinished.run();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onFinished.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    long requests() {
        return requests;
    }
}
