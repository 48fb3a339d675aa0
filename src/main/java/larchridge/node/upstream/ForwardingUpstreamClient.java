package larchridge.node.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import larchridge.audit.CloseReason;
import larchridge.audit.ConnectionSide;
import larchridge.audit.RequestEvents;
import larchridge.node.transport.ConnectFailure;
import larchridge.node.transport.ConnectFutures;
import larchridge.router.Scheduler;
import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Completion;
import larchridge.upstream.Endpoint;
import larchridge.upstream.ForwardedRequest;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;

/**
 * Engines that speak the clients' own protocol: requests go on as they came, events come back as
 * they are. A read state belongs to the request's id at whichever engine, so that it is let go of
 * once for all of a request's attempts, and only while no attempt may still fetch it. All methods
 * run on the loop.
 */
public final class ForwardingUpstreamClient implements UpstreamClient {
    static final String ID = "Req-Id";
    private static final String LEFT = "Req-Deadline-Ms";
    private static final String LOAD = "Srv-Load";
    private static final String DECLINED = "Srv-Declined";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int EVENT_BYTES = 1 << 16;
    private static final int HEAD_BYTES = 8192;
    private static final int BODY_BYTES = 4096;
    private static final byte[] NOTHING = new byte[0];
    private static final Waiting WAITING = new Waiting();

    private final Scheduler ground;
    private final UpstreamLimits bounds;
    private final LoadReportReader loads;
    private final Opener opener;
    private final Map<Endpoint, ConnectionPool> pools = new LinkedHashMap<>();
    private final StateReleaser releases;
    private final RequestEvents events;
    private List<Endpoint> spots = List.of();
    private int connections;

    /** A read state waits under the request's own id. */
    private static final class Waiting implements StateHandle {}

    /** Opens a connection to a spot and puts the handlers into it. */
    public interface Opener {
        ChannelFuture open(Endpoint endpoint, ChannelInitializer<Channel> handlers);
    }

    public ForwardingUpstreamClient(
            EventLoop loop,
            Scheduler ground,
            ByteBufAllocator buffers,
            UpstreamLimits bounds,
            RequestEvents events) {
        this(ground, bounds, sockets(loop, buffers, bounds), events);
    }

    /** A link whose connections are made otherwise. */
    public ForwardingUpstreamClient(Scheduler ground, UpstreamLimits bounds, Opener opener) {
        this(ground, bounds, opener, RequestEvents.IGNORED);
    }

    /** A link whose connections are made otherwise, and whose events go to a watcher. */
    public ForwardingUpstreamClient(
            Scheduler ground, UpstreamLimits bounds, Opener opener, RequestEvents events) {
        this.events = events;
        this.ground = ground;
        this.bounds = bounds;
        this.opener = opener;
        loads = new LoadReportReader(bounds.reportFields());
        releases = new StateReleaser(ground, bounds.releaseMs(), new ReleaseTransport());
        ground.scheduleAtFixedDelay(Math.max(100, bounds.keepAliveMs() / 20), this::closeOld);
    }

    private static Opener sockets(EventLoop loop, ByteBufAllocator buffers, UpstreamLimits bounds) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, buffers)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.max(1, (int) bounds.connectMs()));
        return (endpoint, handlers) ->
                bootstrap.clone().handler(handlers).connect(endpoint.host(), endpoint.port());
    }

    double nowMs() {
        return ground.nowMs();
    }

    UpstreamLimits bounds() {
        return bounds;
    }

    /**
     * The engines that are there now; a release that its holder does not take goes to another of
     * them.
     */
    public void engines(List<Endpoint> now) {
        spots = List.copyOf(now);
    }

    /** Attempts that are out, for the picture beside the module's. */
    public int attemptsOut(Endpoint endpoint) {
        ConnectionPool pool = pools.get(endpoint);
        return pool == null ? 0 : pool.attempts;
    }

    public int connectionsTo(Endpoint endpoint) {
        ConnectionPool pool = pools.get(endpoint);
        return pool == null ? 0 : pool.size();
    }

    @Override
    public boolean hasPendingReleases() {
        return releases.isReleasing();
    }

    /** Requests with an attempt out or a state to let go of. */
    public int openRequests() {
        return releases.openRequests();
    }

    // ------------------------------------------------------------------ connections

    private ConnectionPool pool(Endpoint endpoint) {
        return pools.computeIfAbsent(endpoint, at -> new ConnectionPool(this, at));
    }

    /**
     * Starts a call on the newest connection at rest or on a new one; null if there is no room for
     * one more.
     */
    private UpstreamConnection start(ConnectionPool pool, UpstreamExchange call) {
        UpstreamConnection idle = pool.take();
        if (idle != null) {
            idle.start(call);
            return idle;
        }
        if (pool.size() >= bounds.anEngine()
                || (connections >= bounds.connections() && !makeRoom())) {
            return null;
        }
        UpstreamConnection wire = new UpstreamConnection(pool, call);
        pool.opening(wire);
        connections++;
        ChannelFuture opening =
                opener.open(
                        pool.spot,
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpResponseDecoder(
                                                        new HttpDecoderConfig()
                                                                .setMaxInitialLineLength(1024)
                                                                .setMaxHeaderSize(HEAD_BYTES)
                                                                .setMaxChunkSize(1 << 16)))
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(wire);
                            }
                        });
        wire.opened(ConnectFutures.usableChannel(opening));
        ConnectFutures.whenComplete(opening, ground, () -> wire.start(call), wire::notConnected);
        return wire;
    }

    /** Closes the connection that has rested longest of all; false if none rests. */
    private boolean makeRoom() {
        ConnectionPool oldest = null;
        for (ConnectionPool pool : pools.values()) {
            if (oldest == null || pool.oldestMs() < oldest.oldestMs()) {
                oldest = pool;
            }
        }
        if (oldest == null || oldest.oldestMs() == Double.POSITIVE_INFINITY) {
            return false;
        }
        oldest.closeOld(oldest.oldestMs(), CloseReason.NO_ROOM);
        return connections < bounds.connections();
    }

    void closed(CloseReason reason) {
        connections--;
        events.connectionClosed(ConnectionSide.ENGINE, reason);
    }

    private void closeOld() {
        double now = ground.nowMs();
        pools.values().forEach(pool -> pool.closeOld(now - pool.idleLimitMs(), CloseReason.IDLE));
        pools.values().removeIf(pool -> pool.isEmpty() && !spots.contains(pool.spot));
    }

    private static FullHttpRequest request(
            Endpoint endpoint, HttpMethod method, String target, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, endpoint.toString());
        return request;
    }

    // ------------------------------------------------------------------ attempts

    @Override
    public AttemptHandle read(AttemptRequest order, AttemptListener hearing) {
        return fly(order, hearing, true);
    }

    @Override
    public AttemptHandle write(AttemptRequest order, AttemptListener hearing) {
        return fly(order, hearing, false);
    }

    private AttemptHandle fly(AttemptRequest order, AttemptListener hearing, boolean reads) {
        StateReservation held = releases.attemptStarted(order.forwardedRequest().id());
        ConnectionPool pool = pool(order.endpoint());
        pool.attempts++;
        Attempt attempt = new Attempt(order, hearing, reads, held, pool);
        held.onReleasedBesideAttempt = reads ? null : attempt::stateReleased;
        attempt.wire = start(pool, attempt);
        if (attempt.wire == null) {
            attempt.refuse(SendRejection.NO_CONNECTION);
        }
        return attempt;
    }

    /** One attempt that is out. */
    private final class Attempt implements UpstreamExchange, AttemptHandle {
        private final AttemptRequest order;
        private final AttemptListener hearing;
        private final boolean reads;
        private final StateReservation state;
        private final ConnectionPool pool;
        private final ForwardedAttemptClassifier verdict = new ForwardedAttemptClassifier();
        private final EventStreamSplitter cutter = new EventStreamSplitter(EVENT_BYTES, LOAD);
        private UpstreamConnection wire;
        private boolean begun;
        private boolean over;
        private boolean held;
        private LoadReport report;
        private ByteArrayOutputStream note;

        /** The number under which its events are told, or -1 as long as it is not written. */
        private int number = -1;

        Attempt(
                AttemptRequest order,
                AttemptListener hearing,
                boolean reads,
                StateReservation state,
                ConnectionPool pool) {
            this.order = order;
            this.hearing = hearing;
            this.reads = reads;
            this.state = state;
            this.pool = pool;
        }

        @Override
        public FullHttpRequest request() {
            ForwardedRequest passage = order.forwardedRequest();
            double left = passage.firstTokenDeadlineMs() - ground.nowMs();
            SendRejection refusal =
                    over
                            ? SendRejection.CANCELLED
                            : left < 1
                                    ? SendRejection.DEADLINE_EXCEEDED
                                    : order.sendCheck().rejection();
            if (refusal != null) {
                refuse(refusal);
                return null;
            }
            FullHttpRequest request =
                    ForwardingUpstreamClient.request(
                            order.endpoint(),
                            HttpMethod.valueOf(passage.method()),
                            passage.target(),
                            passage.body());
            passage.headers()
                    .forEach(header -> request.headers().add(header.name(), header.value()));
            if (!request.headers().contains(HttpHeaderNames.CONTENT_TYPE)) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            request.headers()
                    .set(ID, passage.id())
                    .set(LEFT, Long.toString((long) left))
                    .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(passage.body().length));
            number = events.attemptWritten(passage.id(), order.endpoint(), reads, (long) left);
            return request;
        }

        /**
         * The state that it is to fetch is released; a request in its engine's queue keeps it all
         * the same.
         */
        private void stateReleased() {
            if (!over) {
                hearing.stateReleased();
            }
        }

        /** It is not written, for a reason that says nothing about the engine. */
        private void refuse(SendRejection reason) {
            verdict.unfit();
            if (!over) {
                hearing.notSent(reason);
            }
            endLater();
        }

        @Override
        public void written() {
            verdict.written();
        }

        @Override
        public boolean head(HttpResponse response) {
            int status = response.status().code();
            verdict.head(status, "1".equals(response.headers().get(DECLINED)));
            report = loads.read(response.headers().get(LOAD));
            // Guards against: a stream without chunks has no end of its own; a break would pass for
            // it.
            return status != 200 || (!reads && HttpUtil.isTransferEncodingChunked(response));
        }

        @Override
        public boolean body(ByteBuf some) {
            if (verdict.status() == 202) {
                note = note == null ? new ByteArrayOutputStream(64) : note;
                note.writeBytes(ByteBufUtil.getBytes(some));
                return note.size() <= BODY_BYTES;
            }
            if (verdict.status() != 200) {
                return true;
            }
            byte[] whole = cutter.feed(some);
            if (whole != null) {
                if (!begun) {
                    begun = true;
                    releases.answerBegan(state);
                    events.responseStarted(state.requestId, number);
                    hearing.responseStarted();
                }
                if (!over) {
                    hearing.eventsReceived(whole);
                }
            }
            return !cutter.isNoise();
        }

        @Override
        public boolean completed() {
            if (verdict.status() == 200) {
                if (cutter.isWhole()) {
                    verdict.whole();
                }
                report = cutter.report() != null ? loads.read(cutter.report()) : report;
            } else if (verdict.status() == 202 && reads && !over) {
                JsonNode kept = keptNote();
                if (kept != null) {
                    over = true;
                    leavePool();
                    events.readCompleted(state.requestId, number);
                    releases.readEnded(state);
                    hearing.readCompleted(WAITING, kept.intValue(), 0, report);
                    return true;
                }
                verdict.garbled();
            }
            end();
            return verdict.status() != 200 || cutter.isWhole();
        }

        private JsonNode keptNote() {
            try {
                JsonNode kept =
                        MAPPER.readTree(note == null ? new byte[0] : note.toByteArray())
                                .path("cached_tokens");
                return kept.isInt() && kept.intValue() >= 0 ? kept : null;
            } catch (IOException e) {
                return null;
            }
        }

        @Override
        public void paused() {
            if (begun && !over) {
                hearing.batchCompleted();
            }
        }

        @Override
        public void malformed() {
            verdict.garbled();
            end();
        }

        @Override
        public void disconnected() {
            endLater();
        }

        @Override
        public void notConnected(ConnectFailure failure) {
            if (failure == ConnectFailure.LOCAL) {
                refuse(SendRejection.LOCAL_FAILURE);
            } else {
                endLater();
            }
        }

        @Override
        public void cancel() {
            called(false);
        }

        @Override
        public void expire() {
            called(true);
        }

        private void called(boolean timeIsUp) {
            if (over) {
                return;
            }
            verdict.called(timeIsUp);
            if (wire != null) {
                wire.drop();
            }
            endLater();
        }

        @Override
        public void pause() {
            held = true;
            if (wire != null) {
                wire.reads(false);
            }
        }

        @Override
        public void resume() {
            held = false;
            if (wire != null && !over) {
                wire.reads(true);
            }
        }

        /** Nothing may be told from inside a call of the sender's. */
        private void endLater() {
            ground.execute(this::end);
        }

        private void end() {
            if (over) {
                return;
            }
            over = true;
            if (held && wire != null) {
                wire.reads(true);
            }
            if (verdict.isUnusable()) {
                hearing.requestUnprocessable();
            }
            leavePool();
            AttemptOutcome outcome = verdict.outcome();
            boolean heard = verdict.status() != 0;
            events.attemptEnded(
                    state.requestId, number, outcome.name(), outcome.provesNotRun, heard);
            releases.attemptEnded(state, heard);
            hearing.attemptEnded(
                    outcome,
                    report,
                    new Completion(Completion.FinishReason.END_OF_TURN, null, -1, 0));
        }

        private void leavePool() {
            pool.attempts--;
            if (verdict.status() != 0) {
                pool.heardMs = ground.nowMs();
            }
        }
    }

    // ------------------------------------------------------------------ releases

    @Override
    public void release(Endpoint endpoint, String rid) {
        releases.release(rid.substring(0, rid.lastIndexOf('.')), endpoint);
    }

    /** Releases go over the pools' connections. */
    private final class ReleaseTransport implements StateReleaser.Transport {
        @Override
        public void release(
                Endpoint endpoint,
                String requestId,
                double limitMs,
                Consumer<ControlCallResult> told) {
            new SmallCall(
                            endpoint,
                            HttpMethod.DELETE,
                            "/v1/holds/" + requestId,
                            limitMs,
                            (result, call) -> {
                                if (result == ControlCallResult.ANSWERED) {
                                    events.stateReleased(requestId);
                                }
                                told.accept(result);
                            })
                    .go();
        }

        @Override
        public Endpoint next(Endpoint holder, Set<Endpoint> asked) {
            return nextSpot(holder, asked);
        }
    }

    /**
     * The holder first; then others that were not asked yet, those with a connection at rest before
     * those without, and those heard from last before the rest. Guards against: a connection that
     * has to come up first may take all the time there is, and where engines are cut off most of
     * them are asked in vain.
     */
    private Endpoint nextSpot(Endpoint holder, Set<Endpoint> asked) {
        Endpoint best = null;
        boolean bestRests = false;
        double bestMs = Double.NEGATIVE_INFINITY;
        for (Endpoint endpoint : spots) {
            if (asked.contains(endpoint)) {
                continue;
            }
            if (endpoint.equals(holder)) {
                return endpoint;
            }
            ConnectionPool pool = pools.get(endpoint);
            boolean rests = pool != null && pool.hasIdle();
            double heardMs = pool == null ? Double.NEGATIVE_INFINITY : pool.heardMs;
            if (best == null || (rests && !bestRests) || (rests == bestRests && heardMs > bestMs)) {
                best = endpoint;
                bestRests = rests;
                bestMs = heardMs;
            }
        }
        return best;
    }

    // ------------------------------------------------------------------ probes

    @Override
    public void probe(Endpoint endpoint, ProbeListener told) {
        new SmallCall(
                        endpoint,
                        HttpMethod.GET,
                        "/metrics/load",
                        bounds.connectMs(),
                        (result, call) -> {
                            if (result == ControlCallResult.NOT_SENT) {
                                return;
                            }
                            boolean answered =
                                    result == ControlCallResult.ANSWERED && call.status == 200;
                            // An engine that has no report yet answers without one; it is not to be
                            // taken for a dead one.
                            told.completed(answered, answered ? loads.read(call.text()) : null);
                        })
                .go();
    }

    /** A call without a body, with an answer that is small and a time limit. */
    private final class SmallCall implements UpstreamExchange {
        private final Endpoint spot;
        private final HttpMethod method;
        private final String target;
        private final BiConsumer<ControlCallResult, SmallCall> told;
        private final double limitMs;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream(64);
        private int status;
        private UpstreamConnection wire;
        private boolean over;
        private long timer;

        SmallCall(
                Endpoint endpoint,
                HttpMethod method,
                String target,
                double limitMs,
                BiConsumer<ControlCallResult, SmallCall> told) {
            this.spot = endpoint;
            this.method = method;
            this.target = target;
            this.limitMs = limitMs;
            this.told = told;
        }

        void go() {
            timer =
                    ground.schedule(
                            limitMs,
                            () -> {
                                if (!over && wire != null) {
                                    wire.drop();
                                }
                                end(ControlCallResult.UNANSWERED);
                            });
            wire = start(pool(spot), this);
            if (wire == null) {
                ground.execute(() -> end(ControlCallResult.NOT_SENT));
            }
        }

        String text() {
            return body.toString(StandardCharsets.ISO_8859_1);
        }

        @Override
        public FullHttpRequest request() {
            return over ? null : ForwardingUpstreamClient.request(spot, method, target, NOTHING);
        }

        @Override
        public boolean head(HttpResponse response) {
            status = response.status().code();
            return true;
        }

        @Override
        public boolean body(ByteBuf some) {
            body.writeBytes(ByteBufUtil.getBytes(some));
            return body.size() <= BODY_BYTES;
        }

        @Override
        public boolean completed() {
            pool(spot).heardMs = ground.nowMs();
            end(ControlCallResult.ANSWERED);
            return true;
        }

        @Override
        public void malformed() {
            end(ControlCallResult.UNANSWERED);
        }

        @Override
        public void disconnected() {
            ground.execute(() -> end(ControlCallResult.UNANSWERED));
        }

        @Override
        public void notConnected(ConnectFailure failure) {
            end(
                    failure == ConnectFailure.LOCAL
                            ? ControlCallResult.NOT_SENT
                            : ControlCallResult.UNANSWERED);
        }

        private void end(ControlCallResult result) {
            if (!over) {
                over = true;
                ground.cancel(timer);
                told.accept(result, this);
            }
        }
    }

    @Override
    public void close() {
        new ArrayList<>(pools.values()).forEach(ConnectionPool::closeAll);
    }
}
