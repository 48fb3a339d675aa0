package larchridge.node.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import larchridge.node.transport.ConnectFutures;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;

/**
 * A connection to the discovery agent and the polls on it: a snapshot, then one watch after the
 * other until the connection fails or is closed.
 */
final class DiscoveryConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final String LIST_PATH = "/discovery/hosts";
    private static final int MAX_LIST_BYTES = 4 << 20;

    /**
     * How long the agent may hold a watch, and how long after that a watch without a response
     * counts as silent. Guards against: the platform counts a change that a silent watch misses as
     * announced at the latest 6 s after the watch fell silent, and 4 s after SIGHUP with a new
     * configuration. Until then the node must have polled again: in the worst case it needs the
     * wait and the silence timeout of the watch, a connect that times out and one that succeeds.
     * The agent is on the same machine, and polling costs it nothing.
     */
    private static final int WATCH_WAIT_MS = 2000;

    private static final double SILENCE_TIMEOUT_MS = 1000;

    /** A response that keeps arriving in pieces must be complete this long after its poll. */
    private static final double SNAPSHOT_TIMEOUT_MS = 10_000;

    /** The same limit for a watch, in addition to the agent's wait. */
    private static final double WATCH_RESPONSE_TIMEOUT_MS = 1500;

    /** Minimum interval between polls, even if each is answered immediately. */
    private static final double MIN_POLL_INTERVAL_MS = 20;

    private static final long NO_TIMER = -1;

    /** The stages of a connection's lifecycle. */
    private enum State {
        /** The connection is being established. */
        CONNECTING,
        /** A poll was sent; no part of its response has arrived. */
        AWAITING_RESPONSE,
        /** A part of a response has arrived. */
        RECEIVING,
        /** A response was applied; the next poll waits for the minimum interval to pass. */
        BETWEEN_POLLS,
        /** Closed permanently; later events on the connection are ignored. */
        CLOSED
    }

    private final DiscoveryClient client;
    private final Scheduler scheduler;
    private final Endpoint agent;
    private State state = State.CONNECTING;

    /** Null before the connection is opened, and if no socket could be created. */
    private Channel channel;

    private double pollSentMs;
    private double lastProgressMs;
    private long responseTimer = NO_TIMER;

    DiscoveryConnection(DiscoveryClient client, Scheduler scheduler, Endpoint agent) {
        this.client = client;
        this.scheduler = scheduler;
        this.agent = agent;
    }

    /** Connects to the agent and sends the first poll. */
    void open(Bootstrap bootstrap) {
        ChannelFuture connectFuture =
                bootstrap
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) SILENCE_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel openedChannel) {
                                        openedChannel
                                                .pipeline()
                                                .addLast(
                                                        new ReadProgressHandler(
                                                                DiscoveryConnection.this
                                                                        ::bytesReceived),
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(MAX_LIST_BYTES),
                                                        DiscoveryConnection.this);
                                    }
                                })
                        .connect(agent.host(), agent.port());
        channel = ConnectFutures.usableChannel(connectFuture);
        ConnectFutures.whenComplete(
                connectFuture,
                scheduler,
                this::poll,
                failure -> fail("could not connect; side of the failure: " + failure));
    }

    boolean isClosed() {
        return state == State.CLOSED;
    }

    /** Whether the response to the last poll has arrived, in part or completely. */
    boolean hasResponseStarted() {
        return state == State.RECEIVING || state == State.BETWEEN_POLLS;
    }

    /** Whether the last poll is recent and bytes of its response arrived within the given time. */
    boolean isProgressing(double withinMs) {
        double nowMs = scheduler.nowMs();
        return hasResponseStarted()
                && nowMs - lastProgressMs < withinMs
                && nowMs - pollSentMs < SILENCE_TIMEOUT_MS;
    }

    private void poll() {
        if (isClosed()) {
            return;
        }
        boolean snapshot = client.isSnapshotNeeded();
        String target =
                snapshot
                        ? LIST_PATH
                        : LIST_PATH + "?after=" + client.version() + "&wait_ms=" + WATCH_WAIT_MS;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, agent.toString());
        channel.writeAndFlush(request);
        pollSentMs = scheduler.nowMs();
        state = State.AWAITING_RESPONSE;
        startResponseTimer(SILENCE_TIMEOUT_MS + (snapshot ? 0 : WATCH_WAIT_MS));
    }

    /** Handles the arrival of bytes of a response. */
    private void bytesReceived() {
        if (isClosed()) {
            return;
        }
        lastProgressMs = scheduler.nowMs();
        if (!hasResponseStarted()) {
            if (!client.tryStartReceiving(this)) {
                close();
                return;
            }
            state = State.RECEIVING;
        }
        double timeoutMs =
                client.isSnapshotNeeded()
                        ? SNAPSHOT_TIMEOUT_MS
                        : WATCH_WAIT_MS + WATCH_RESPONSE_TIMEOUT_MS;
        startResponseTimer(Math.min(SILENCE_TIMEOUT_MS, pollSentMs + timeoutMs - lastProgressMs));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (isClosed()) {
            return;
        }
        stopResponseTimer();
        if (response.decoderResult().isFailure() || response.status().code() != 200) {
            fail("response can't be decoded or has status " + response.status().code());
            return;
        }
        if (!client.applyResponse(this, ByteBufUtil.getBytes(response.content()))) {
            return;
        }
        if (!HttpUtil.isKeepAlive(response)) {
            fail("the agent closes the connection after its response");
            return;
        }
        double delayMs = pollSentMs + MIN_POLL_INTERVAL_MS - scheduler.nowMs();
        if (delayMs > 0) {
            state = State.BETWEEN_POLLS;
            scheduler.schedule(delayMs, this::poll);
        } else {
            poll();
        }
    }

    /**
     * Closes the connection after a failure, so that another one is opened; has no effect if it is
     * closed already.
     */
    void fail(String reason) {
        if (isClosed()) {
            return;
        }
        close();
        client.connectionFailed(reason);
    }

    /** Closes the connection; no other one is opened in its place. */
    void close() {
        state = State.CLOSED;
        client.connectionClosed(this);
        stopResponseTimer();
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Fails the connection after this time: no bytes have arrived in time, or the response is not
     * complete in time.
     */
    private void startResponseTimer(double ms) {
        stopResponseTimer();
        responseTimer =
                scheduler.schedule(
                        ms,
                        () -> {
                            responseTimer = NO_TIMER;
                            fail("silent");
                        });
    }

    private void stopResponseTimer() {
        if (responseTimer != NO_TIMER) {
            scheduler.cancel(responseTimer);
            responseTimer = NO_TIMER;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }
}
