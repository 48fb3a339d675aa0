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
 * A client connection: serves one request at a time, in order, and queues pipelined ones within a
 * limit. It owns the {@link ConnectionState}; each transition is a method of its own. One handler
 * covers all stages, since the order of reads, writes and closes across them matters.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    private final ServerContext server;
    private final RequestDispatcher dispatcher;
    private final Channel channel;
    private final StrictRequestDecoder decoder;
    private final RequestTiming timing;
    private final RequestBodyBuffer body;
    private final PipelineQueue pipelinedParts;
    private final ConnectionCloser closer;
    private ConnectionState state = ConnectionState.AWAITING_REQUEST;

    /** The request whose body is being read, or null. */
    private HttpRequest head;

    /** The request in flight, or null; it is kept when the connection closes. */
    private ClientExchange exchange;

    ClientConnection(ServerContext server, RequestDispatcher dispatcher, Channel channel) {
        this.server = server;
        this.dispatcher = dispatcher;
        this.channel = channel;
        ServerLimits limits = server.limits;
        decoder = new StrictRequestDecoder(server.requestMemory, this::requestStarted);
        timing = new RequestTiming(limits, server.scheduler.nowMs());
        body = new RequestBodyBuffer(server.requestMemory, limits.maxBodyBytes());
        pipelinedParts = new PipelineQueue(server.requestMemory, limits.maxBodyBytes());
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

    /** Handles the first byte of a request, which may be queued behind one that is being served. */
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
            pipelinedParts.add(part);
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
            reject(rejectionOf(part.decoderResult().cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            startReadingBody(request);
        }
        if (state == ConnectionState.READING_BODY && part instanceof HttpContent content) {
            appendToBody(content);
            if (state == ConnectionState.READING_BODY && part instanceof LastHttpContent) {
                dispatchCompleteRequest();
            }
        }
    }

    private static RequestRejection rejectionOf(Throwable decoderFailure) {
        if (decoderFailure instanceof RequestMemoryException) {
            return RequestRejection.NO_MEMORY;
        }
        return decoderFailure instanceof TooLongFrameException
                ? RequestRejection.HEAD_TOO_LONG
                : RequestRejection.UNREADABLE;
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
        } else if (!body.tryAppend(content.content())) {
            reject(RequestRejection.NO_MEMORY);
        }
    }

    private void dispatchCompleteRequest() {
        HttpRequest request = head;
        head = null;
        state = ConnectionState.AWAITING_REQUEST;
        RequestHeaders headers = RequestHeaders.of(request);
        try {
            dispatcher.dispatch(this, request);
        } finally {
            // An exchange that was started has taken over the reservation.
            headers.discard();
        }
    }

    /** Discards all received data that is not being served, and all data that still arrives. */
    private void stopReadingRequests() {
        state = ConnectionState.CLOSING;
        if (head != null) {
            RequestHeaders.of(head).discard();
            head = null;
        }
        body.discard();
        pipelinedParts.releaseAll();
        decoder.discardHeads();
    }

    // ------------------------------------------------------------------ responses

    /** Marks an admitted request as in flight. */
    void startExchange(ClientExchange started) {
        exchange = started;
        state = ConnectionState.SERVING;
        server.connections.unmarkIdleAndReceiving(this);
    }

    /**
     * Responds with an error and closes the connection; after a framing error, the start of the
     * next request is unknown.
     */
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
     * Returns whether the connection stays open after a response. During shutdown it is closed,
     * even if that was not requested, unless a part of another request has arrived.
     */
    ConnectionPersistence decidePersistence(ConnectionPersistence requested) {
        return requested == ConnectionPersistence.CLOSE || isLastResponse()
                ? ConnectionPersistence.CLOSE
                : ConnectionPersistence.KEEP_ALIVE;
    }

    /** Whether the node is shutting down and no part of another request has arrived. */
    private boolean isLastResponse() {
        return server.isDraining() && pipelinedParts.isEmpty() && !decoder.isReceiving();
    }

    /** Writes without flushing. */
    void write(Object message) {
        channel.write(message);
    }

    void flush() {
        channel.flush();
    }

    /**
     * Writes the last part of a response, then half-closes the connection or waits for the next
     * request.
     */
    void finishResponse(Object lastPart, ConnectionPersistence persistence) {
        channel.writeAndFlush(lastPart);
        if (persistence == ConnectionPersistence.CLOSE) {
            halfClose(CloseReason.LAST_ANSWER);
        } else {
            awaitRequest();
        }
    }

    /** Makes the connection ready for the next request, which may have been pipelined. */
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
        while (state.readsRequests() && !pipelinedParts.isEmpty()) {
            processAndRelease(pipelinedParts.remove());
        }
        if (state.readsRequests() && (pipelinedParts.hasOverflowed() || isLastResponse())) {
            halfClose(
                    pipelinedParts.hasOverflowed() ? CloseReason.SENT_AHEAD : CloseReason.SHUTDOWN);
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

    /**
     * Closes the connection if a request is overdue, it has been idle for too long, or the client
     * has not closed its side in time.
     */
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
            halfClose(CloseReason.IDLE);
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
     * Reads everything that the socket holds, then returns whether the client has closed the
     * connection. Without that read, an attempt could start for a client whose close has arrived,
     * but which this iteration of the event loop has not processed yet. Must not be called while
     * this connection is being read.
     */
    boolean readAndCheckPeerClosed() {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !channel.isActive();
    }

    /**
     * Called at shutdown: closes the connection if it is idle and has had a request. One that has
     * had none is kept for its first request, within the time limit for it: if it were closed now,
     * its client would lose a request that is already on its way.
     */
    void closeIfIdleAfterRequest() {
        if (timing.hasReceivedRequest()
                && !readAndCheckPeerClosed()
                && state.readsRequests()
                && !decoder.isReceiving()) {
            halfClose(CloseReason.SHUTDOWN);
        }
    }

    /** Closes immediately, even if received data is unread. */
    void closeNow(CloseReason reason) {
        state = ConnectionState.CLOSING;
        closer.closeNow(reason);
    }

    /**
     * Shuts down the output, keeps reading until the client has closed its side or the linger time
     * is over, and closes. Guards against: closing a socket with unread data resets the connection,
     * and the preceding response may be lost.
     */
    void halfClose(CloseReason reason) {
        closer.recordReason(reason);
        stopReadingRequests();
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
                    .log("closing a client connection: an event on it could not be handled");
        }
        closeNow(CloseReason.IO_FAILURE);
    }
}
