package larchridge.node.door;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import larchridge.budget.Answer;
import larchridge.enginelink.Ending;
import larchridge.enginelink.Passage;
import larchridge.front.Ask;
import larchridge.front.Client;
import larchridge.front.Open;
import larchridge.site.Offer;

/** One client connection: one request at a time, what is sent ahead waits within a bound. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final String PATH = "/v1/chat/completions";
    private static final int FIRST_BYTES = 4096;

    private final Door door;
    private final Channel channel;
    private final double enteredMs;
    private boolean served;
    private double idleSinceMs;

    private HttpRequest head;
    private double headMs;
    private byte[] body = new byte[0];
    private int length;
    private Exchange exchange;
    /** Nothing more is read from this connection. */
    private boolean over;
    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private int aheadBytes;

    ClientConnection(Door door, Channel channel) {
        this.door = door;
        this.channel = channel;
        enteredMs = door.ground.nowMs();
        idleSinceMs = enteredMs;
    }

    // ------------------------------------------------------------------ what comes

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (over) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (exchange != null) {
            // Danger: requests sent ahead must neither get lost nor fill the memory; beyond one the client waits.
            ahead.add(part);
            aheadBytes += part instanceof HttpContent content ? content.content().readableBytes() : FIRST_BYTES;
            if (aheadBytes > door.bounds.bodyBytes()) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        try {
            take(part);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void take(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            boolean tooLong = part.decoderResult().cause() instanceof TooLongFrameException;
            refuse(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                    "the request can't be read");
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
        door.busy(this);
        head = request;
        headMs = door.ground.nowMs();
        served = true;
        HttpHeaders headers = request.headers();
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            refuse(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here");
            return;
        }
        boolean chunks = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (chunks && (headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size() != 1
                || !headers.get(HttpHeaderNames.TRANSFER_ENCODING).strip().equalsIgnoreCase("chunked"))) {
            refuse(HttpResponseStatus.BAD_REQUEST, "one length is expected");
            return;
        }
        if (!chunks && HttpUtil.getContentLength(request, 0L) > door.bounds.bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
        }
    }

    private void gather(HttpContent content) {
        int more = content.content().readableBytes();
        if (length + more > door.bounds.bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        if (!door.mayHold(more)) {
            // Danger: many bodies at once would fill the memory; coming back is harmless, nothing was taken.
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once");
            return;
        }
        if (length + more > body.length) {
            // It grows with what comes: a length that is only promised costs nothing.
            body = Arrays.copyOf(body, Math.max(length + more, Math.min(2 * body.length, door.bounds.bodyBytes())));
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
            answer(door.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "", 0,
                    !HttpUtil.isKeepAlive(request));
            return;
        }
        if (!path.equals(PATH)) {
            refuse(HttpResponseStatus.NOT_FOUND, "nothing here");
            return;
        }
        if (!request.method().name().equals("POST")) {
            refuse(HttpResponseStatus.METHOD_NOT_ALLOWED, "POST is expected");
            return;
        }
        RequestHead asked;
        try {
            asked = RequestHead.read(request.headers());
        } catch (RequestHead.BadHead e) {
            refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        Offer offer = door.offers.get(asked.product());
        if (offer == null) {
            refuse(HttpResponseStatus.BAD_REQUEST, "Req-Kind: no such class");
            return;
        }
        if (length == 0) {
            refuse(HttpResponseStatus.BAD_REQUEST, "a body is expected");
            return;
        }
        if (!door.front.enter()) {
            drop();
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once", 0, !HttpUtil.isKeepAlive(request));
            return;
        }
        if (!door.takeId(asked.id())) {
            // Danger: a second request under an open one's id would be its second copy, and its release the other's.
            door.front.leave();
            refuse(HttpResponseStatus.CONFLICT, "Req-Id: was used before");
            return;
        }
        int bytes = length;
        Passage passage = new Passage("POST", target, asked.id(), body(), headMs + asked.deadlineMs());
        Exchange own = new Exchange(asked.id(), bytes, !HttpUtil.isKeepAlive(request));
        exchange = own;
        door.front.take(Ask.passing(offer, door.site.guest, passage, asked.promptToks(), asked.sharedToks(),
                asked.maxToks(), asked.prefix(), asked.session(), asked.resent(), asked.deadlineMs(),
                door.ground.nowMs() - headMs), own, open -> own.open = open);
    }

    /** An error that ends the connection: what follows can't be trusted. */
    private void refuse(HttpResponseStatus status, String why) {
        over = true;
        head = null;
        drop();
        dropAhead();
        answer(status, why, 0, true);
    }

    private void answer(HttpResponseStatus status, String why, double comeBackMs, boolean last) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(
                why.isEmpty() ? new byte[0] : ("{\"error\":{\"message\":\"" + why + "\"}}").getBytes(StandardCharsets.UTF_8)));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (!why.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        if (comeBackMs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Double.toString(Math.round(comeBackMs) / 1000.0));
        }
        boolean closes = last || door.isClosing();
        if (closes) {
            over = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            channel.writeAndFlush(response);
            rest();
        }
    }

    /** Ready for the next request, which may be here already. */
    private void rest() {
        exchange = null;
        idleSinceMs = door.ground.nowMs();
        door.idle(this);
        while (exchange == null && !over && !ahead.isEmpty()) {
            HttpObject part = ahead.poll();
            aheadBytes -= part instanceof HttpContent content ? content.content().readableBytes() : FIRST_BYTES;
            try {
                take(part);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }
        if (ahead.isEmpty()) {
            aheadBytes = 0;
            channel.config().setAutoRead(true);
        }
    }

    private void dropAhead() {
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        aheadBytes = 0;
    }

    // ------------------------------------------------------------------ the connection

    /** The regular look: a request that does not come, or not to its end, and a rest that is too long. */
    void look(double now) {
        if (over || exchange != null) {
            return;
        }
        if (head != null && now - headMs > door.bounds.requestMs()
                || !served && now - enteredMs > door.bounds.requestMs()) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");
        } else if (head == null && now - idleSinceMs > door.bounds.idleMs()) {
            leave();
        }
    }

    /** Ends a connection that has no request. */
    void leave() {
        over = true;
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        door.left(this);
        over = true;
        drop();
        dropAhead();
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
        channel.close();
    }

    // ------------------------------------------------------------------ answers

    /** One generation's exchange with this client. */
    private final class Exchange implements Client {
        private final String id;
        private final int bytes;
        private final boolean last;
        private Open open;
        private boolean done;
        private boolean begun;

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
            door.front.leave();
            return true;
        }

        void clientLeft() {
            if (!done) {
                if (open != null) {
                    open.gone();
                }
                finish();
            }
        }

        @Override
        public void begun(int keptToks) {
            begun = true;
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            if (last || door.isClosing()) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            channel.write(response);
        }

        @Override
        public boolean piece(String text) {
            throw new UnsupportedOperationException("only whole events go on here");
        }

        @Override
        public void events(byte[] whole) {
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(whole)));
        }

        @Override
        public void soFar() {
            channel.flush();
        }

        @Override
        public boolean isGone() {
            return !channel.isActive();
        }

        @Override
        public void overBudget(Answer budget) {
            throttled(0);
        }

        @Override
        public void streamed(Ending ending) {
            if (!finish()) {
                return;
            }
            if (last || door.isClosing()) {
                over = true;
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
            } else {
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                rest();
            }
        }

        @Override
        public void throttled(double comeBackMs) {
            if (finish()) {
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "not now", comeBackMs, last);
            }
        }

        @Override
        public void terminated(Cause cause, boolean mayRetry) {
            if (begun) {
                cut();
            } else if (finish()) {
                answer(cause == Cause.TIME_UP ? HttpResponseStatus.GATEWAY_TIMEOUT
                        : cause == Cause.UNUSABLE ? HttpResponseStatus.BAD_REQUEST
                        : HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed", 0, last || cause == Cause.UNUSABLE);
            }
        }

        @Override
        public void cut() {
            if (finish()) {
                // Without the last chunk, so that nobody takes it for whole.
                over = true;
                channel.flush();
                channel.close();
            }
        }
    }
}
