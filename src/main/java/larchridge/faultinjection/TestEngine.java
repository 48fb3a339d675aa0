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
 * A simulated engine that speaks the protocol of the platform: as a reader it processes prompts and
 * holds their read states; as a writer it fetches a state and streams a response. It records what
 * its sockets see in the traffic log. All methods run on the event loop of the test harness.
 */
final class TestEngine {
    /** How the engine treats requests. */
    enum Behavior {
        NORMAL,
        HANGING,
        FAILING,
        DECLINING
    }

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int EVENT_COUNT = 6;
    private static final String EVENT_TEXT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"},\"finish_reason\":null}]}\n\n";
    private static final String FINAL_EVENTS_TEXT =
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":24}}\n\ndata: [DONE]\n\n";

    final long number;
    final EngineProfile profile;
    private final EventLoopGroup loop;
    private final TrafficLog log;
    private final TestReadStates readStates;
    private final Random random;
    private final Set<Channel> connections = new HashSet<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private final Channel listener;
    private int running;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private long incarnation;
    Behavior behavior = Behavior.NORMAL;

    /** Planted fault: releases are acknowledged, but nothing is released. */
    boolean ignoresReleases;

    /** Planted fault: every request runs twice. */
    boolean runsTwice;

    /** Unix time of the last start; 0 if the engine has not restarted. */
    long startTimeMs;

    /** The start time that the endpoint list announces. */
    long announcedStartTimeMs;

    String status = "SERVING";

    /** A request that has arrived and is not finished. */
    private static final class Job {
        final String id;
        final Channel channel;
        final long incarnation;
        boolean finished;

        Job(String id, Channel channel, long incarnation) {
            this.id = id;
            this.channel = channel;
            this.incarnation = incarnation;
        }
    }

    TestEngine(
            EngineProfile profile,
            EventLoopGroup loop,
            TrafficLog log,
            TestReadStates readStates,
            long seed)
            throws InterruptedException {
        number = profile.id();
        this.profile = profile;
        this.loop = loop;
        this.log = log;
        this.readStates = readStates;
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
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
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

    /** The tag of a request in the traffic log. Each request is a separate operation. */
    static String tag(String id) {
        return id + "#0";
    }

    /** Simulates a restart: the engine is cold and holds no read states. */
    void restart() {
        incarnation++;
        queue.clear();
        running = 0;
        readStates.dropHeldBy(this);
        Set.copyOf(connections).forEach(Channel::close);
        startedMs = log.nowMs();
        startTimeMs = System.currentTimeMillis();
        log.add(TrafficEvent.Kind.STARTED, number, null, null, 1, null);
    }

    private double speed() {
        double age = log.nowMs() - startedMs;
        return age >= profile.coldMs()
                ? 1
                : profile.coldShare() + (1 - profile.coldShare()) * age / profile.coldMs();
    }

    private void schedule(double ms, Runnable step) {
        loop.next().schedule(step, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    /** Handles one connection. */
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
                if (behavior != Behavior.HANGING) {
                    if (!ignoresReleases) {
                        readStates.release(path.substring(path.lastIndexOf('/') + 1));
                    }
                    respond(channel, HttpResponseStatus.NO_CONTENT, "", false);
                }
                return;
            }
            if (!request.method().equals(HttpMethod.POST)) {
                respond(channel, HttpResponseStatus.NOT_FOUND, "", false);
                return;
            }
            job = new Job(request.headers().get("Req-Id"), channel, incarnation);
            handleRequest(job);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
            if (job != null) {
                finish(job);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void handleRequest(Job job) {
        boolean isReader = profile.role() == Role.READER;
        log.add(
                isReader ? TrafficEvent.Kind.READ_IN : TrafficEvent.Kind.WRITE_IN,
                number,
                job.id,
                tag(job.id),
                400,
                null);
        if (behavior == Behavior.HANGING) {
            return;
        }
        if (behavior == Behavior.DECLINING || queue.size() >= profile.queueCapacity()) {
            finish(job);
            respond(job.channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
            return;
        }
        if (behavior == Behavior.FAILING && random.nextBoolean()) {
            if (!isReader) {
                logExecution(job);
            }
            finish(job);
            respond(job.channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false);
            return;
        }
        if (!isReader) {
            readStates.updateQueued(job.id, true);
        }
        queue.add(job);
        startQueuedJobs();
    }

    private void startQueuedJobs() {
        int slots =
                profile.role() == Role.READER
                        ? profile.maxConcurrentReads()
                        : profile.maxConcurrentStreams();
        while (running < slots && !queue.isEmpty()) {
            Job job = queue.poll();
            if (profile.role() != Role.READER) {
                readStates.updateQueued(job.id, false);
            }
            if (job.finished) {
                continue;
            }
            running++;
            if (profile.role() == Role.READER) {
                schedule(400 / profile.readTokensPerMs() / speed(), () -> finishRead(job));
            } else {
                startWrite(job);
            }
        }
    }

    private void releaseSlot(Job job) {
        if (job.incarnation == incarnation) {
            running--;
            startQueuedJobs();
        }
    }

    private void finishRead(Job job) {
        if (!job.finished && job.incarnation == incarnation && behavior != Behavior.HANGING) {
            readStates.hold(job.id, this);
            finish(job);
            respond(job.channel, HttpResponseStatus.ACCEPTED, "{\"cached_tokens\":0}", false);
        }
        releaseSlot(job);
    }

    private void startWrite(Job job) {
        if (!readStates.isHeld(job.id)) {
            finish(job);
            respond(job.channel, HttpResponseStatus.GONE, "", true);
            releaseSlot(job);
            return;
        }
        schedule(
                5,
                () -> {
                    if (job.finished
                            || job.incarnation != incarnation
                            || behavior == Behavior.HANGING) {
                        releaseSlot(job);
                        return;
                    }
                    readStates.drop(job.id);
                    logExecution(job);
                    DefaultHttpResponse head =
                            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                    head.headers()
                            .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                            .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                    job.channel.write(head);
                    streamEvents(job, 0);
                });
    }

    private void logExecution(Job job) {
        for (int i = 0; i < (runsTwice ? 2 : 1); i++) {
            log.add(TrafficEvent.Kind.RAN, number, job.id, tag(job.id), 0, null);
        }
    }

    /** Returns the profile that the rules are checked with. */
    EngineProfile profileForChecks(PlantedFault plantedFault) {
        return plantedFault != PlantedFault.COLD_STARTS_HIDDEN
                ? profile
                : new EngineProfile(
                        profile.id(),
                        profile.role(),
                        profile.zone(),
                        profile.rack(),
                        profile.readTokensPerMs(),
                        profile.maxConcurrentReads(),
                        profile.maxConcurrentStreams(),
                        profile.queueCapacity(),
                        profile.memoryTokens(),
                        profile.tokenMs(),
                        profile.transferTokensPerMs(),
                        0,
                        1e9,
                        profile.stateExpiryMs());
    }

    private void streamEvents(Job job, int event) {
        if (job.finished || job.incarnation != incarnation) {
            releaseSlot(job);
            return;
        }
        if (event < EVENT_COUNT) {
            job.channel.writeAndFlush(new DefaultHttpContent(bytes(EVENT_TEXT)));
            schedule(4 * profile.tokenMs() / speed(), () -> streamEvents(job, event + 1));
            return;
        }
        job.channel.write(new DefaultHttpContent(bytes(FINAL_EVENTS_TEXT)));
        job.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finish(job);
        releaseSlot(job);
    }

    private void finish(Job job) {
        if (!job.finished) {
            job.finished = true;
            log.add(TrafficEvent.Kind.LEG_OUT, number, job.id, tag(job.id), 0, null);
            if (queue.remove(job) && profile.role() != Role.READER) {
                readStates.updateQueued(job.id, false);
            }
        }
    }

    private static io.netty.buffer.ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static void respond(
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
