package larchridge.node.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import larchridge.audit.CloseReason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client's connection: serves one request at a time, in order; pipelined ones wait within a
 * limit. It owns the {@link ConnectionState}; each transition is a method of its own. One handler,
 * since the order of reads, writes and closes across stages matters.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    private final ServerContext server;
    private final RequestDispatcher dispatcher;
    private final Channel channel;
    private final StrictRequestDecoder decoder = new StrictRequestDecoder(this::requestStarted);
    private final RequestTiming timing;
    private final RequestBodyBuffer body;
    private final PipelineQueue pipeline;
    private final ConnectionCloser closer;
    private ConnectionState state = ConnectionState.AWAITING_REQUEST;

    /** The request whose body is being read, or null. */
    private HttpRequest head;

    /** The request in flight, or null; it stays when the connection closes. */
    private ClientExchange exchange;

    ClientConnection(ServerContext server, RequestDispatcher dispatcher, Channel channel) {
        this.server = server;
        this.dispatcher = dispatcher;
        this.channel = channel;
        ServerLimits limits = server.limits;
        timing = new RequestTiming(limits, server.scheduler.nowMs());
        body = new RequestBodyBuffer(server.bodyMemory, limits.maxBodyBytes());
        pipeline = new PipelineQueue(server.bodyMemory, limits.maxBodyBytes());
        closer = new ConnectionCloser(channel, limits.lingerMs());
    }

    StrictRequestDecoder decoder() {
        return decoder;
    }

    ServerContext server() {
        return server;
    }

    /** The body of the request that is being read or dispatched. */
    RequestBodyBuffer body() {
        return body;
    }

    /** When the head of the request that is being read or dispatched was received. */
    double headReceivedMs() {
        return timing.headReceivedMs();
    }

    // ------------------------------------------------------------------ reading requests

    /** The first byte of a request has arrived; it may be behind one that is being served. */
    private void requestStarted() {
        timing.firstByteReceived(server.scheduler.nowMs());
        if (state.readsRequests()) {
            server.connections.markReceiving(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (state == ConnectionState.CLOSING) {
            ReferenceCountUtil.release(part);
        } else if (state == ConnectionState.SERVING) {
            pipeline.add(part);
        } else {
            processAndRelease(part);
        }
    }

    private void processAndRelease(HttpObject part) {
        try {
            process(part);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void process(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            boolean tooLong = part.decoderResult().cause() instanceof TooLongFrameException;
            reject(tooLong ? RequestRejection.HEAD_TOO_LONG : RequestRejection.UNREADABLE);
            return;
        }
        if (part instanceof HttpRequest request) {
            startReadingBody(request);
        }
        if (state == ConnectionState.READING_BODY && part instanceof HttpContent content) {
            appendToBody(content);
            if (state == ConnectionState.READING_BODY && part instanceof LastHttpContent) {
                dispatcher.dispatch(this, takeCompleteRequest());
            }
        }
    }

    private void startReadingBody(HttpRequest request) {
        server.connections.markReceiving(this);
        state = ConnectionState.READING_BODY;
        head = request;
        timing.headReceived(server.scheduler.nowMs());
        if (!RequestFraming.isSupportedVersion(request)) {
            reject(RequestRejection.OTHER_VERSION);
        } else if (RequestFraming.hasAmbiguousLength(request)) {
            reject(RequestRejection.TWO_LENGTHS);
        } else if (RequestFraming.declaredLength(request) > server.limits.maxBodyBytes()) {
            reject(RequestRejection.BODY_TOO_LONG);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(Responses.continueRequest());
        }
    }

    private void appendToBody(HttpContent content) {
        int additionalBytes = content.content().readableBytes();
        if (!body.canGrowBy(additionalBytes)) {
            reject(RequestRejection.BODY_TOO_LONG);
        } else if (!body.hasMemoryFor(additionalBytes)) {
            reject(RequestRejection.NO_MEMORY);
        } else {
            body.append(content.content());
        }
    }

    private HttpRequest takeCompleteRequest() {
        HttpRequest request = head;
        head = null;
        state = ConnectionState.AWAITING_REQUEST;
        return request;
    }

    /** Drops what has arrived and is not being served, and all that still arrives. */
    private void stopReadingRequests() {
        state = ConnectionState.CLOSING;
        head = null;
        body.discard();
        pipeline.releaseAll();
    }

    // ------------------------------------------------------------------ responses

    /** An admitted request is in flight from now on. */
    void startExchange(ClientExchange started) {
        exchange = started;
        state = ConnectionState.SERVING;
        server.connections.markServing(this);
    }

    /** Responds with an error and closes: what follows on the connection can't be trusted. */
    void reject(RequestRejection rejection) {
        reject(rejection, rejection.message);
    }

    void reject(RequestRejection rejection, String message) {
        server.requestRejected(rejection);
        closer.recordReason(
                rejection == RequestRejection.TOO_SLOW
                        ? CloseReason.REQUEST_TIMEOUT
                        : CloseReason.BAD_INPUT);
        stopReadingRequests();
        respond(Responses.error(rejection.status, message), ConnectionPersistence.CLOSE);
    }

    /** Writes a complete response. */
    void respond(FullHttpResponse response, ConnectionPersistence requested) {
        ConnectionPersistence persistence = decidePersistence(requested);
        if (persistence == ConnectionPersistence.CLOSE) {
            Responses.setConnectionClose(response);
        }
        finishResponse(response, persistence);
    }

    /**
     * A response that may be the last one closes the connection, also if that was not requested.
     */
    ConnectionPersistence decidePersistence(ConnectionPersistence requested) {
        return requested == ConnectionPersistence.CLOSE || isLastResponse()
                ? ConnectionPersistence.CLOSE
                : ConnectionPersistence.KEEP_ALIVE;
    }

    /**
     * While the process shuts down, a connection is kept only for requests that have arrived on it,
     * in part at least.
     */
    private boolean isLastResponse() {
        return server.isDraining() && pipeline.isEmpty() && !decoder.isReceiving();
    }

    /** Writes without a flush. */
    void write(Object message) {
        channel.write(message);
    }

    void flush() {
        channel.flush();
    }

    /** Writes the last part of a response, and closes the connection or awaits the next request. */
    void finishResponse(Object lastPart, ConnectionPersistence persistence) {
        channel.writeAndFlush(lastPart);
        if (persistence == ConnectionPersistence.CLOSE) {
            halfClose(CloseReason.LAST_ANSWER);
        } else {
            awaitRequest();
        }
    }

    /** Ready for the next request, which may have been pipelined. */
    private void awaitRequest() {
        exchange = null;
        if (state == ConnectionState.SERVING) {
            state = ConnectionState.AWAITING_REQUEST;
        }
        timing.becameIdle(server.scheduler.nowMs());
        if (decoder.isReceiving()) {
            server.connections.markReceiving(this);
        } else {
            server.connections.markIdle(this);
        }
        while (state.readsRequests() && !pipeline.isEmpty()) {
            processAndRelease(pipeline.remove());
        }
        if (state.readsRequests() && (pipeline.hasOverflowed() || isLastResponse())) {
            closeGracefully(
                    pipeline.hasOverflowed() ? CloseReason.SENT_AHEAD : CloseReason.SHUTDOWN);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange == null) {
            return;
        }
        if (channel.isWritable()) {
            exchange.resume();
        } else {
            exchange.pause();
        }
    }

    // ------------------------------------------------------------------ timeouts

    /** Closes the connection if a request, the idle time or the client's own close is overdue. */
    void checkTimeouts(double nowMs) {
        if (closer.isLingerOver(nowMs)) {
            closeNow(CloseReason.LINGER_OVER);
        }
        if (!state.readsRequests()) {
            return;
        }
        boolean receiving = decoder.isReceiving();
        if (isRequestOverdue(nowMs, receiving)) {
            reject(RequestRejection.TOO_SLOW);
        } else if (state == ConnectionState.AWAITING_REQUEST
                && !receiving
                && timing.isIdleTooLong(nowMs)) {
            closeGracefully(CloseReason.IDLE);
        }
    }

    private boolean isRequestOverdue(double nowMs, boolean receiving) {
        if (state == ConnectionState.READING_BODY) {
            return timing.isBodyOverdue(nowMs);
        }
        boolean headExpected = receiving || !timing.hasReceivedRequest();
        return headExpected && timing.isHeadOverdue(nowMs);
    }

    // ------------------------------------------------------------------ closing

    /**
     * Whether the client has closed, judged after all has been read that its socket holds. Without
     * this an attempt could start for a client whose close waits unread behind other connections'
     * events in the same turn of the event loop. Must not be called while this connection is being
     * read.
     */
    boolean hasPeerClosed() {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !channel.isActive();
    }

    /**
     * The process shuts down: closes the connection if it had a request and is idle. One that had
     * none is kept for its first request, within the limit on that: if it were closed now, its
     * client would lose the request under way.
     */
    void closeIfIdleAfterRequest() {
        if (timing.hasReceivedRequest()
                && !hasPeerClosed()
                && state.readsRequests()
                && !decoder.isReceiving()) {
            closeGracefully(CloseReason.SHUTDOWN);
        }
    }

    /** Half-closes a connection without a request in flight. */
    private void closeGracefully(CloseReason reason) {
        stopReadingRequests();
        halfClose(reason);
    }

    /** Closes at once, whatever is unread. */
    void closeNow(CloseReason reason) {
        state = ConnectionState.CLOSING;
        closer.closeNow(reason);
    }

    /**
     * Shuts the output down, reads on until the client has closed its side too, or for a while, and
     * closes. Guards against: a close over bytes that were not read resets the connection, and the
     * response before it may be lost with them.
     */
    void halfClose(CloseReason reason) {
        closer.recordReason(reason);
        state = ConnectionState.CLOSING;
        if (!closer.isHalfClosed()) {
            server.connections.markClosing(this);
            closer.halfClose(server.scheduler.nowMs());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.connections.remove(this);
        server.connectionClosed(closer.reason());
        stopReadingRequests();
        if (exchange != null) {
            exchange.clientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.atError()
                    .setCause(cause)
                    .log(
                            "a client's connection is closed, since what came on it could not be handled");
        }
        closeNow(CloseReason.IO_FAILURE);
    }
}
