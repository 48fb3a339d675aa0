package larchridge.node.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import larchridge.audit.CloseReason;
import larchridge.budget.BudgetDecision;
import larchridge.router.GenerationRequest;
import larchridge.router.InFlightRequest;
import larchridge.router.ResponseSink;
import larchridge.site.ProductOffering;
import larchridge.upstream.Completion;
import larchridge.upstream.ForwardedRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One client connection: one request at a time, what is sent ahead waits within a bound. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    private static final String PATH = "/v1/chat/completions";
    private static final int FIRST_BYTES = 4096;

    private final HttpServer door;
    private final Channel channel;
    private final StrictDecoder decoder = new StrictDecoder(this::requestStarted);
    private final double enteredMs;
    private boolean served;
    private int requestsBegun;
    private double idleSinceMs;

    /** Why this side ends the connection; null as long as it does not. */
    private CloseReason closeReason;

    private double requestStartedMs;
    private HttpRequest head;
    private double headMs;
    private byte[] body = new byte[0];
    private int length;
    private Exchange exchange;

    /** Nothing more is taken from this connection; what comes is read and dropped. */
    private boolean over;

    /** When this side said that it sends no more; NaN as long as it has not. */
    private double endedMs = Double.NaN;

    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private int aheadBytes;

    /**
     * More was sent ahead than is kept: the connection ends when what is kept has been answered.
     */
    private boolean overrun;

    ClientConnection(HttpServer door, Channel channel) {
        this.door = door;
        this.channel = channel;
        enteredMs = door.ground.nowMs();
        idleSinceMs = enteredMs;
    }

    StrictDecoder decoder() {
        return decoder;
    }

    // ------------------------------------------------------------------ what comes

    /** The first byte of a request has come; it may be behind one that is being served. */
    private void requestStarted() {
        requestStartedMs = door.ground.nowMs();
        if (!over && exchange == null) {
            door.receiving(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (over) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (exchange != null) {
            ahead(part);
            return;
        }
        try {
            take(part);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    /**
     * Keeps what is sent ahead, within a bound. Guards against: a connection that is not read on
     * hides that its client has gone, and the request before it would be sent on for nobody; so
     * what is beyond the bound is read and dropped.
     */
    private void ahead(HttpObject part) {
        int bytes = aheadBytes(part);
        overrun |= aheadBytes + bytes > door.bounds.maxBodyBytes() || !door.mayHold(bytes);
        if (overrun) {
            ReferenceCountUtil.release(part);
            return;
        }
        ahead.add(part);
        aheadBytes += bytes;
        door.holds(bytes);
    }

    private static int aheadBytes(HttpObject part) {
        return part instanceof HttpContent content
                ? content.content().readableBytes()
                : FIRST_BYTES;
    }

    private HttpObject nextAhead() {
        HttpObject part = ahead.poll();
        int bytes = aheadBytes(part);
        aheadBytes -= bytes;
        door.holds(-bytes);
        return part;
    }

    private void take(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            boolean tooLong = part.decoderResult().cause() instanceof TooLongFrameException;
            refuse(tooLong ? RequestRejection.HEAD_TOO_LONG : RequestRejection.UNREADABLE);
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (!over && head != null && part instanceof HttpContent content) {
            gather(content);
            if (!over && part instanceof LastHttpContent) {
                HttpRequest whole = head;
                head = null;
                serve(whole);
            }
        }
    }

    private void begin(HttpRequest request) {
        door.receiving(this);
        head = request;
        headMs = door.ground.nowMs();
        served = true;
        requestsBegun++;
        HttpHeaders headers = request.headers();
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            refuse(RequestRejection.OTHER_VERSION);
            return;
        }
        boolean chunks = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (chunks
                && (headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size() != 1
                        || !headers.get(HttpHeaderNames.TRANSFER_ENCODING)
                                .strip()
                                .equalsIgnoreCase("chunked"))) {
            refuse(RequestRejection.TWO_LENGTHS);
            return;
        }
        if (!chunks && HttpUtil.getContentLength(request, 0L) > door.bounds.maxBodyBytes()) {
            refuse(RequestRejection.BODY_TOO_LONG);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void gather(HttpContent content) {
        int more = content.content().readableBytes();
        if (length + more > door.bounds.maxBodyBytes()) {
            refuse(RequestRejection.BODY_TOO_LONG);
            return;
        }
        if (!door.mayHold(more)) {
            refuse(RequestRejection.NO_MEMORY);
            return;
        }
        if (length + more > body.length) {
            // It grows with what comes: a length that is only promised costs nothing.
            body =
                    Arrays.copyOf(
                            body,
                            Math.max(
                                    length + more,
                                    Math.min(2 * body.length, door.bounds.maxBodyBytes())));
        }
        content.content().getBytes(content.content().readerIndex(), body, length, more);
        length += more;
        door.holds(more);
    }

    private byte[] body() {
        byte[] whole = length == body.length ? body : Arrays.copyOf(body, length);
        body = new byte[0];
        length = 0;
        return whole;
    }

    private void drop() {
        door.holds(-length);
        body = new byte[0];
        length = 0;
    }

    // ------------------------------------------------------------------ what is asked

    private void serve(HttpRequest request) {
        String target = request.uri();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (path.equals("/up") && request.method().name().equals("GET")) {
            drop();
            answer(
                    door.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "",
                    0,
                    !HttpUtil.isKeepAlive(request));
            return;
        }
        if (!path.equals(PATH)) {
            refuse(RequestRejection.NOT_FOUND);
            return;
        }
        if (!request.method().name().equals("POST")) {
            refuse(RequestRejection.OTHER_METHOD);
            return;
        }
        RequestHead asked;
        try {
            asked = RequestHead.read(request.headers());
        } catch (RequestHead.BadHead e) {
            refuse(RequestRejection.BAD_HEADER, e.getMessage());
            return;
        }
        ProductOffering offer = door.offers.get(asked.product());
        if (offer == null) {
            refuse(RequestRejection.NO_SUCH_CLASS);
            return;
        }
        if (length == 0) {
            refuse(RequestRejection.NO_BODY);
            return;
        }
        if (!door.front.tryAdmit()) {
            drop();
            RequestRejection refusal = RequestRejection.NOT_ADMITTED;
            door.refused(refusal);
            answer(refusal.status, refusal.message, 0, !HttpUtil.isKeepAlive(request));
            return;
        }
        if (!door.takeId(asked.id())) {
            door.front.exchangeEnded();
            refuse(RequestRejection.ID_USED);
            return;
        }
        ForwardedRequest passage =
                new ForwardedRequest(
                        "POST",
                        target,
                        asked.id(),
                        ForwardedHeaders.of(request.headers()),
                        body(),
                        headMs + asked.deadlineMs());
        Exchange own =
                new Exchange(asked.id(), passage.body().length, !HttpUtil.isKeepAlive(request));
        exchange = own;
        door.serving(this);
        double receivedMs = headMs;
        // A client that closes right behind its request has gone: the close is read before anything
        // is sent on.
        door.ground.execute(() -> submit(own, asked, offer, passage, receivedMs));
    }

    private void submit(
            Exchange own,
            RequestHead asked,
            ProductOffering offer,
            ForwardedRequest passage,
            double receivedMs) {
        if (own.done || hasLeft()) {
            return;
        }
        try {
            door.events.accepted(asked.id(), offer.product, passage.firstTokenDeadlineMs());
            door.front.submit(
                    GenerationRequest.forwarding(
                            offer,
                            door.site.guest,
                            passage,
                            asked.promptTokens(),
                            asked.sharedTokens(),
                            asked.maxTokens(),
                            asked.prefix(),
                            asked.session(),
                            asked.resent(),
                            asked.deadlineMs(),
                            door.ground.nowMs() - receivedMs),
                    own,
                    open -> own.open = open);
        } catch (RuntimeException | Error e) {
            // Without this the client would wait for an answer that nobody owes it any more.
            LOG.atError()
                    .addKeyValue("id", asked.id())
                    .setCause(e)
                    .log("a request could not be taken");
            own.failed(ResponseSink.FailureCause.INTERNAL, false);
        }
    }

    /**
     * Whether the client has closed, judged after all has been read that its socket holds. Without
     * this an attempt could start for a client whose close waits unread behind other connections'
     * events in the same turn of the loop. Not to be called while this connection is being read.
     */
    private boolean hasLeft() {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !channel.isActive();
    }

    /** An error that ends the connection: what follows can't be trusted. */
    private void refuse(RequestRejection refusal) {
        refuse(refusal, refusal.message);
    }

    private void refuse(RequestRejection refusal, String message) {
        door.refused(refusal);
        closeReason =
                refusal == RequestRejection.TOO_SLOW
                        ? CloseReason.REQUEST_TIMEOUT
                        : CloseReason.BAD_INPUT;
        dropAll();
        answer(refusal.status, message, 0, true);
    }

    private void answer(HttpResponseStatus status, String why, double comeBackMs, boolean last) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer(
                                why.isEmpty()
                                        ? new byte[0]
                                        : ("{\"error\":{\"message\":\"" + why + "\"}}")
                                                .getBytes(StandardCharsets.UTF_8)));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (!why.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        if (comeBackMs > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            Double.toString(Math.round(comeBackMs) / 1000.0));
        }
        if (last || isLastAnswer()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(response);
            halfClose(CloseReason.LAST_ANSWER);
        } else {
            channel.writeAndFlush(response);
            rest();
        }
    }

    /** Ready for the next request, which may be here already. */
    private void rest() {
        exchange = null;
        idleSinceMs = door.ground.nowMs();
        if (decoder.isReceiving()) {
            door.receiving(this);
        } else {
            door.idle(this);
        }
        while (exchange == null && !over && !ahead.isEmpty()) {
            HttpObject part = nextAhead();
            try {
                take(part);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }
        if (exchange == null && !over && (overrun || isLastAnswer())) {
            closeGracefully(overrun ? CloseReason.SENT_AHEAD : CloseReason.SHUTDOWN);
        }
    }

    /**
     * At the end of the process a connection is kept only for requests that have come on it, in
     * part at least.
     */
    private boolean isLastAnswer() {
        return door.isClosing() && ahead.isEmpty() && !decoder.isReceiving();
    }

    /** Takes nothing more, and lets go of what has come and is not being served. */
    private void dropAll() {
        over = true;
        head = null;
        drop();
        while (!ahead.isEmpty()) {
            ReferenceCountUtil.release(nextAhead());
        }
    }

    // ------------------------------------------------------------------ the connection

    /**
     * The regular look: a request that does not come, or not to its end, and a rest that is too
     * long.
     */
    void checkTimeouts(double now) {
        if (now - endedMs > door.bounds.lingerMs()) {
            closeNow(CloseReason.LINGER_OVER);
        }
        if (over || exchange != null) {
            return;
        }
        boolean receiving = decoder.isReceiving();
        if (isRequestOverdue(now, receiving)) {
            refuse(RequestRejection.TOO_SLOW);
        } else if (head == null && !receiving && now - idleSinceMs > door.bounds.idleTimeoutMs()) {
            closeGracefully(CloseReason.IDLE);
        }
    }

    /**
     * Head and body have a time each, and both together one that is counted from the connection's
     * start, or from the first byte of a later request: a client that is slow with its head and
     * then stops would else stay for both.
     */
    private boolean isRequestOverdue(double now, boolean receiving) {
        if (head == null && !receiving && served) {
            return false;
        }
        double startedMs =
                requestsBegun <= (head == null ? 0 : 1)
                        ? enteredMs
                        : Math.max(requestStartedMs, idleSinceMs);
        double partStartedMs = head != null ? headMs : startedMs;
        return now - partStartedMs > door.bounds.requestPartTimeoutMs()
                || now - startedMs > door.bounds.requestTimeoutMs();
    }

    /**
     * The process is to end: ends the connection if it has been served and rests. One that has not
     * been asked on yet is kept for its first request, within the bound on that: closed now, its
     * client would lose the request under way.
     */
    void closeIfServed() {
        if (served && !hasLeft() && !over && exchange == null && !decoder.isReceiving()) {
            closeGracefully(CloseReason.SHUTDOWN);
        }
    }

    /** The first reason counts; what follows from it is no reason of its own. */
    private void noteReason(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
    }

    /** Ends a connection without a request. */
    void closeGracefully(CloseReason reason) {
        dropAll();
        halfClose(reason);
    }

    /** Ends a connection at once, whatever is unread. */
    void closeNow(CloseReason reason) {
        noteReason(reason);
        over = true;
        channel.close();
    }

    /**
     * Says that nothing more comes, reads on until the client has ended its side too, or for a
     * while, and closes. Guards against: a close over bytes that were not read resets the
     * connection, and the answer before it may go with them.
     */
    private void halfClose(CloseReason reason) {
        noteReason(reason);
        over = true;
        if (!Double.isNaN(endedMs)) {
            return;
        }
        endedMs = door.ground.nowMs();
        door.ending(this);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        done -> {
                            if (channel instanceof DuplexChannel duplex && done.isSuccess()) {
                                duplex.shutdownOutput();
                            } else {
                                closeNow(CloseReason.IO_FAILURE);
                            }
                        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        door.left(this);
        door.closed(closeReason == null ? CloseReason.PEER : closeReason);
        dropAll();
        if (exchange != null) {
            exchange.clientLeft();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && exchange.open != null) {
            if (channel.isWritable()) {
                exchange.open.resume();
            } else {
                exchange.open.pause();
            }
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

    // ------------------------------------------------------------------ answers

    /** One generation's exchange with this client. */
    private final class Exchange implements ResponseSink {
        private final String id;
        private final int bytes;
        private final boolean last;
        private InFlightRequest open;
        private boolean done;
        private boolean begun;

        /** Whether the head of the answer said that the connection ends behind it. */
        private boolean saidClose;

        Exchange(String id, int bytes, boolean last) {
            this.id = id;
            this.bytes = bytes;
            this.last = last;
        }

        private boolean finish() {
            if (done) {
                return false;
            }
            done = true;
            door.endId(id);
            door.holds(-bytes);
            door.front.exchangeEnded();
            return true;
        }

        void clientLeft() {
            if (!done) {
                door.events.clientClosed(id);
                if (open != null) {
                    open.clientDisconnected();
                }
                finish();
            }
        }

        @Override
        public void responseStarted(int keptTokens) {
            begun = true;
            HttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            saidClose = last || isLastAnswer();
            if (saidClose) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            channel.write(response);
        }

        @Override
        public boolean textReceived(String text) {
            throw new UnsupportedOperationException("only whole events go on here");
        }

        @Override
        public void eventsReceived(byte[] whole) {
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(whole)));
        }

        @Override
        public void flush() {
            channel.flush();
        }

        @Override
        public boolean isDisconnected() {
            return hasLeft();
        }

        @Override
        public void rejectedOverBudget(BudgetDecision budget) {
            rejected(0);
        }

        @Override
        public void completed(Completion ending) {
            if (!finish()) {
                return;
            }
            door.events.answered(id, "streamed");
            if (saidClose || isLastAnswer()) {
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                halfClose(CloseReason.LAST_ANSWER);
            } else {
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                rest();
            }
        }

        @Override
        public void rejected(double comeBackMs) {
            if (finish()) {
                door.events.answered(id, "throttled");
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "not now", comeBackMs, last);
            }
        }

        @Override
        public void failed(FailureCause cause, boolean mayRetry) {
            if (begun) {
                aborted();
            } else if (finish()) {
                door.events.answered(id, cause.name());
                answer(
                        cause == FailureCause.DEADLINE_EXCEEDED
                                ? HttpResponseStatus.GATEWAY_TIMEOUT
                                : cause == FailureCause.UNUSABLE_ANSWER
                                        ? HttpResponseStatus.BAD_REQUEST
                                        : HttpResponseStatus.INTERNAL_SERVER_ERROR,
                        "failed",
                        0,
                        last || cause == FailureCause.UNUSABLE_ANSWER);
            }
        }

        @Override
        public void aborted() {
            if (finish()) {
                door.events.answered(id, "cut");
                // Without the last chunk, so that nobody takes it for whole.
                halfClose(CloseReason.STREAM_CUT);
            }
        }
    }
}
