package larchridge.faultinjection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.Role;
import larchridge.systemtest.TrafficEvent;
import larchridge.systemtest.TrafficLog;

/**
 * A simulated engine that speaks the platform's protocol: it reads prompts and holds their states,
 * or fetches a state and streams an answer. What its sockets see goes into the traffic log. All
 * methods run on the rig's loop.
 */
final class TestEngine {
    /** How an engine behaves. */
    enum Mood {
        GOOD,
        HANGS,
        ERRS,
        DECLINES
    }

    private static final int BODY_BYTES = 1 << 20;
    private static final int EVENTS = 6;
    private static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"},\"finish_reason\":null}]}\n\n";
    private static final String END =
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":24}}\n\ndata: [DONE]\n\n";

    final long number;
    final EngineProfile make;
    private final EventLoopGroup loop;
    private final TrafficLog log;
    private final TestReservations states;
    private final Random random;
    private final Set<Channel> connections = new HashSet<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private final Channel listener;
    private int running;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private long life;
    Mood mood = Mood.GOOD;

    /** Planted: releases are answered and nothing is released. */
    boolean ignoresReleases;

    /** Planted: every request runs twice. */
    boolean runsTwice;

    /** Unix time of its last start, or 0 for long ago. */
    long sinceMs;

    /** The start that the list tells. */
    long toldSinceMs;

    String status = "SERVING";

    /** One request that has arrived and has not ended. */
    private static final class Job {
        final String id;
        final Channel channel;
        final long life;
        boolean over;

        Job(String id, Channel channel, long life) {
            this.id = id;
            this.channel = channel;
            this.life = life;
        }
    }

    TestEngine(
            EngineProfile make,
            EventLoopGroup loop,
            TrafficLog log,
            TestReservations states,
            long seed)
            throws InterruptedException {
        number = make.id();
        this.make = make;
        this.loop = loop;
        this.log = log;
        this.states = states;
        random = new Random(seed);
        listener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(BODY_BYTES),
                                                        new Handler());
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel();
        log.add(TrafficEvent.Kind.STARTED, number, null, null, 0, null);
    }

    int port() {
        return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    }

    /** The mark of a request in the traffic log; each is an operation of its own. */
    static String tag(String id) {
        return id + "#0";
    }

    /** Ends the process and starts a new one, cold and empty. */
    void restart() {
        life++;
        queue.clear();
        running = 0;
        states.forget(this);
        Set.copyOf(connections).forEach(Channel::close);
        startedMs = log.nowMs();
        sinceMs = System.currentTimeMillis();
        log.add(TrafficEvent.Kind.STARTED, number, null, null, 1, null);
    }

    private double speed() {
        double age = log.nowMs() - startedMs;
        return age >= make.coldMs()
                ? 1
                : make.coldShare() + (1 - make.coldShare()) * age / make.coldMs();
    }

    private void in(double ms, Runnable step) {
        loop.next().schedule(step, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    /** Serves one connection. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Job job;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Channel channel = context.channel();
            String path = request.uri();
            if (request.method().equals(HttpMethod.DELETE)) {
                if (mood != Mood.HANGS) {
                    if (!ignoresReleases) {
                        states.release(path.substring(path.lastIndexOf('/') + 1));
                    }
                    answer(channel, HttpResponseStatus.NO_CONTENT, "", false);
                }
                return;
            }
            if (!request.method().equals(HttpMethod.POST)) {
                answer(channel, HttpResponseStatus.NOT_FOUND, "", false);
                return;
            }
            job = new Job(request.headers().get("Req-Id"), channel, life);
            arrive(job);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
            if (job != null) {
                end(job);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void arrive(Job job) {
        boolean reads = make.role() == Role.READER;
        log.add(
                reads ? TrafficEvent.Kind.READ_IN : TrafficEvent.Kind.WRITE_IN,
                number,
                job.id,
                tag(job.id),
                400,
                null);
        if (mood == Mood.HANGS) {
            return;
        }
        if (mood == Mood.DECLINES || queue.size() >= make.queueCapacity()) {
            end(job);
            answer(job.channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
            return;
        }
        if (mood == Mood.ERRS && random.nextBoolean()) {
            if (!reads) {
                ran(job);
            }
            end(job);
            answer(job.channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false);
            return;
        }
        if (!reads) {
            states.waits(job.id, true);
        }
        queue.add(job);
        next();
    }

    private void next() {
        int slots = make.role() == Role.READER ? make.maxConcurrentReads() : make.maxConcurrentStreams();
        while (running < slots && !queue.isEmpty()) {
            Job job = queue.poll();
            if (make.role() != Role.READER) {
                states.waits(job.id, false);
            }
            if (job.over) {
                continue;
            }
            running++;
            if (make.role() == Role.READER) {
                in(400 / make.readTokensPerMs() / speed(), () -> readEnded(job));
            } else {
                write(job);
            }
        }
    }

    private void leaveSlot(Job job) {
        if (job.life == life) {
            running--;
            next();
        }
    }

    private void readEnded(Job job) {
        if (!job.over && job.life == life && mood != Mood.HANGS) {
            states.hold(job.id, this);
            end(job);
            answer(job.channel, HttpResponseStatus.ACCEPTED, "{\"cached_tokens\":0}", false);
        }
        leaveSlot(job);
    }

    private void write(Job job) {
        if (!states.isHeld(job.id)) {
            end(job);
            answer(job.channel, HttpResponseStatus.GONE, "", true);
            leaveSlot(job);
            return;
        }
        in(
                5,
                () -> {
                    if (job.over || job.life != life || mood == Mood.HANGS) {
                        leaveSlot(job);
                        return;
                    }
                    states.drop(job.id);
                    ran(job);
                    DefaultHttpResponse head =
                            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                    head.headers()
                            .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                            .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                    job.channel.write(head);
                    stream(job, 0);
                });
    }

    private void ran(Job job) {
        for (int i = 0; i < (runsTwice ? 2 : 1); i++) {
            log.add(TrafficEvent.Kind.RAN, number, job.id, tag(job.id), 0, null);
        }
    }

    /** What the engine is judged as. */
    EngineProfile judgedMake(PlantedFault plant) {
        return plant != PlantedFault.COLD_STARTS_HIDDEN
                ? make
                : new EngineProfile(
                        make.id(),
                        make.role(),
                        make.zone(),
                        make.rack(),
                        make.readTokensPerMs(),
                        make.maxConcurrentReads(),
                        make.maxConcurrentStreams(),
                        make.queueCapacity(),
                        make.memoryTokens(),
                        make.tokenMs(),
                        make.transferTokensPerMs(),
                        0,
                        1e9,
                        make.stateExpiryMs());
    }

    private void stream(Job job, int event) {
        if (job.over || job.life != life) {
            leaveSlot(job);
            return;
        }
        if (event < EVENTS) {
            job.channel.writeAndFlush(new DefaultHttpContent(bytes(EVENT)));
            in(4 * make.tokenMs() / speed(), () -> stream(job, event + 1));
            return;
        }
        job.channel.write(new DefaultHttpContent(bytes(END)));
        job.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        end(job);
        leaveSlot(job);
    }

    private void end(Job job) {
        if (!job.over) {
            job.over = true;
            log.add(TrafficEvent.Kind.LEG_OUT, number, job.id, tag(job.id), 0, null);
            if (queue.remove(job) && make.role() != Role.READER) {
                states.waits(job.id, false);
            }
        }
    }

    private static io.netty.buffer.ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static void answer(
            Channel channel, HttpResponseStatus status, String body, boolean declined) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes(body));
        if (status.code() != HttpResponseStatus.NO_CONTENT.code()) {
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        }
        if (declined) {
            response.headers().set("Srv-Declined", "1");
        }
        channel.writeAndFlush(response);
    }
}
