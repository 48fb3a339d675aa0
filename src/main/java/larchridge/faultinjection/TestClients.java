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
 * Clients of the nodes: an open loop of requests over kept connections, clients that leave, stop in
 * the middle or only connect. What they see goes into the traffic log. All methods run on the rig's
 * loop.
 */
final class TestClients {
    /**
     * New connections go to a node for so long after it was told to end; kept ones are used as long
     * as they stay.
     */
    private static final double COMING_MS = 400;

    private static final int CROWD = 60;
    private static final int STOPPED = 5;
    private static final int LAST_REQUESTS = 3;
    private static final long LAST_WAIT_MS = 4500;

    /** A client that stops is owed its error or close in this time, and the rig's own lateness. */
    static final double STOPPED_OWED_MS = 3000;

    private static final String BODY =
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":40,\"messages\":[]}";

    /** A class of requests. */
    record RequestClass(String name, int deadlineMs, double share) {}

    private final EventLoopGroup loop;
    private final TrafficLog log;
    private final List<TestNode> nodes;
    private final List<RequestClass> classes;
    private final Random random;
    private final List<Deque<Connection>> idle = new ArrayList<>();
    private final List<String> stoppedTooLong = new ArrayList<>();
    private boolean leaving;
    private boolean dropsAnswers;
    private long requests;
    int answeredWhole;

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

    /** Whether some clients close before they are answered. */
    void leaving(boolean on) {
        leaving = on;
    }

    /** Planted: every other answer never reaches its client. */
    void dropsAnswers(boolean on) {
        dropsAnswers = on;
    }

    /** Asks one node a few times; tells whether one of these was served whole. */
    void lastLook(TestNode node, java.util.function.Consumer<Boolean> told) {
        int[] left = {LAST_REQUESTS};
        boolean[] served = new boolean[1];
        for (int i = 0; i < LAST_REQUESTS; i++) {
            Exchange exchange =
                    new Exchange(String.format("%016x", random.nextLong()), classes.get(0), node);
            exchange.ended =
                    whole -> {
                        served[0] |= whole;
                        if (--left[0] == 0) {
                            told.accept(served[0]);
                        }
                    };
            requests++;
            exchange.begin();
        }
        loop.next()
                .schedule(
                        () -> {
                            if (left[0] > 0) {
                                told.accept(served[0]);
                            }
                        },
                        LAST_WAIT_MS,
                        TimeUnit.MILLISECONDS);
    }

    List<String> stoppedTooLong() {
        return stoppedTooLong;
    }

    /** Sends one request to some node that takes them. */
    void send() {
        double now = log.nowMs();
        Predicate<TestNode> takes =
                node ->
                        node.state == TestNode.State.UP
                                || (node.state == TestNode.State.TERMINATING
                                        && (now < node.terminatedMs + COMING_MS
                                                || !idle.get(node.number).isEmpty()));
        List<TestNode> up = nodes.stream().filter(takes).toList();
        if (!up.isEmpty()) {
            TestNode node = up.get(random.nextInt(up.size()));
            double draw = random.nextDouble();
            RequestClass kind = classes.get(classes.size() - 1);
            for (RequestClass one : classes) {
                draw -= one.share;
                if (draw < 0) {
                    kind = one;
                    break;
                }
            }
            requests++;
            new Exchange(String.format("%016x", random.nextLong()), kind, node).begin();
        }
    }

    /** One request, over one connection, or two where the first closed as it was written. */
    private final class Exchange {
        private final String id;
        private final RequestClass kind;
        private final TestNode node;
        private final boolean leaves = leaving && random.nextInt(3) == 0;
        private boolean asked;
        private boolean begun;
        private boolean over;
        private boolean second;
        private java.util.function.Consumer<Boolean> ended = whole -> {};

        Exchange(String id, RequestClass kind, TestNode node) {
            this.id = id;
            this.kind = kind;
            this.node = node;
        }

        void begin() {
            Connection kept = second ? null : idle.get(node.number).pollFirst();
            if (kept != null && kept.channel.isActive()) {
                kept.start(this);
                return;
            }
            Connection fresh = new Connection(node);
            fresh.open()
                    .addListener(
                            (ChannelFuture done) -> {
                                if (done.isSuccess()) {
                                    fresh.start(this);
                                } else if (asked) {
                                    // It was sent before on a kept connection that closed; nobody
                                    // takes it now.
                                    saw(TrafficEvent.Kind.LEFT, null);
                                    over = true;
                                }
                            });
        }

        void saw(TrafficEvent.Kind seen, String word) {
            log.add(seen, node.number, null, TestEngine.tag(id), kind.deadlineMs, word);
        }

        void sent(Connection connection) {
            if (!asked) {
                asked = true;
                saw(TrafficEvent.Kind.ASKED, kind.name);
            }
            if (leaves) {
                loop.next()
                        .schedule(
                                () -> {
                                    if (!over) {
                                        over = true;
                                        saw(TrafficEvent.Kind.LEFT, null);
                                        connection.close();
                                    }
                                },
                                5 + random.nextInt(400),
                                TimeUnit.MILLISECONDS);
            }
        }

        void finish(String word) {
            if (over) {
                saw(TrafficEvent.Kind.AFTER_FINAL, word);
                return;
            }
            over = true;
            ended.accept(word.equals("streamed"));
            answeredWhole += word.equals("streamed") ? 1 : 0;
            saw(TrafficEvent.Kind.FINAL, word);
        }

        /** The connection ended before the answer's end. */
        void broke(boolean kept) {
            if (over) {
                return;
            }
            if (begun) {
                finish("terminated");
            } else if (kept && !second) {
                second = true;
                begin();
            } else {
                over = true;
                // A node that ends may close a second, new connection unread.
                saw(
                        second && node.state != TestNode.State.UP
                                ? TrafficEvent.Kind.LEFT
                                : TrafficEvent.Kind.LOST,
                        null);
            }
        }
    }

    /** One connection to a node. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final TestNode node;
        private Channel channel;
        private Exchange exchange;
        private int served;
        private int status;
        private boolean closes;
        private final StringBuilder tail = new StringBuilder();

        Connection(TestNode node) {
            this.node = node;
        }

        ChannelFuture open() {
            ChannelFuture opening =
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
            channel = opening.channel();
            return opening;
        }

        void start(Exchange next) {
            exchange = next;
            status = 0;
            tail.setLength(0);
            String head =
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nReq-Id: "
                            + next.id
                            + "\r\nReq-Kind: "
                            + next.kind.name
                            + "\r\nReq-Key: k"
                            + next.id.charAt(3)
                            + "\r\nReq-Deadline-Ms: "
                            + next.kind.deadlineMs
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
                                    next.sent(this);
                                }
                            });
        }

        void close() {
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (exchange == null || (dropsAnswers && exchange.id.charAt(0) % 2 == 0)) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                exchange.saw(TrafficEvent.Kind.MALFORMED, "answer");
                close();
                return;
            }
            if (part instanceof HttpResponse response) {
                status = response.status().code();
                closes = "close".equalsIgnoreCase(response.headers().get("Connection"));
            }
            if (part instanceof HttpContent content) {
                body(content);
            }
        }

        private void body(HttpContent content) {
            if (status == 200 && content.content().isReadable()) {
                if (!exchange.begun && !exchange.over) {
                    exchange.begun = true;
                    exchange.saw(TrafficEvent.Kind.BEGUN, null);
                }
                tail.append(content.content().toString(StandardCharsets.ISO_8859_1));
                if (tail.length() > 64) {
                    tail.delete(0, tail.length() - 64);
                }
            }
            if (content instanceof LastHttpContent) {
                Exchange ended = exchange;
                exchange = null;
                if (status == 200) {
                    if (tail.toString().endsWith("data: [DONE]\n\n")) {
                        ended.finish("streamed");
                    } else {
                        ended.saw(
                                TrafficEvent.Kind.MALFORMED,
                                "a stream that is not whole was ended as one");
                        ended.finish("terminated");
                    }
                } else {
                    ended.finish(status == 503 || status == 429 ? "throttled" : "terminated");
                }
                served++;
                if (!closes) {
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
                ended.broke(served > 0 && status == 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    // ------------------------------------------------------------------ clients that misbehave

    /** Clients that send a part of a request and stay. */
    void stopInTheMiddle(TestNode node) {
        if (node.state != TestNode.State.UP) {
            return;
        }
        for (int i = 0; i < STOPPED; i++) {
            String head =
                    "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: "
                            + String.format("%016x", random.nextLong())
                            + "\r\nReq-Kind: "
                            + classes.get(0).name
                            + "\r\nReq-Deadline-Ms: 4000\r\nContent-Length: 500\r\n\r\n{\"model\"";
            int first = random.nextInt(head.length());
            double from = log.nowMs();
            boolean[] ended = new boolean[1];
            Bystander bystander = new Bystander(() -> ended[0] = true);
            bystander.connect(
                    node.port,
                    channel -> {
                        channel.writeAndFlush(
                                Unpooled.copiedBuffer(
                                        head.substring(0, first), StandardCharsets.ISO_8859_1));
                        loop.next()
                                .schedule(
                                        () ->
                                                channel.writeAndFlush(
                                                        Unpooled.copiedBuffer(
                                                                head.substring(first),
                                                                StandardCharsets.ISO_8859_1)),
                                        200 + random.nextInt(1700),
                                        TimeUnit.MILLISECONDS);
                    });
            int life = node.starts;
            loop.next()
                    .schedule(
                            () -> {
                                if (!ended[0]
                                        && node.state == TestNode.State.UP
                                        && node.starts == life) {
                                    stoppedTooLong.add(
                                            "node "
                                                    + node.number
                                                    + ": a client that stopped at "
                                                    + Math.round(from)
                                                    + " ms has no error and no close 3.3 s later");
                                }
                                bystander.close();
                            },
                            (long) STOPPED_OWED_MS + 300,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Clients that connect at once and say nothing. */
    void crowd(TestNode node, double lengthMs) {
        for (int i = 0; i < CROWD; i++) {
            Bystander bystander = new Bystander(() -> {});
            bystander.connect(node.port, channel -> {});
            loop.next().schedule(bystander::close, (long) lengthMs, TimeUnit.MILLISECONDS);
        }
    }

    /** A client that only wants to be there; its end is any byte or the close. */
    private final class Bystander extends io.netty.channel.ChannelInboundHandlerAdapter {
        private final Runnable ended;
        private Channel channel;

        Bystander(Runnable ended) {
            this.ended = ended;
        }

        void connect(int port, java.util.function.Consumer<Channel> connected) {
            ChannelFuture opening =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(this)
                            .connect("127.0.0.1", port);
            channel = opening.channel();
            opening.addListener(
                    done -> {
                        if (done.isSuccess()) {
                            connected.accept(channel);
                        } else {
                            ended.run();
                        }
                    });
        }

        void close() {
            channel.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            io.netty.util.ReferenceCountUtil.release(message);
            ended.run();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended.run();
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
