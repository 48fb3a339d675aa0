package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import larchridge.node.transport.MemoryBudget;

/**
 * Netty's request decoder, except that a content length next to a chunked coding stays visible:
 * such a request is rejected, not repaired. It also reports the first byte of each request, long
 * before its head is complete, and accounts for the memory of heads while they are decoded.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 1 << 16;

    private final RequestHeadersFactory headers;
    private final Runnable requestStarted;
    private boolean receiving;

    /**
     * Creates a decoder for one connection.
     *
     * @param memory accounts for the heads of requests
     * @param requestStarted runs at the first byte of each request
     */
    StrictRequestDecoder(MemoryBudget memory, Runnable requestStarted) {
        this(new RequestHeadersFactory(memory), memory, requestStarted);
    }

    private StrictRequestDecoder(
            RequestHeadersFactory headers, MemoryBudget memory, Runnable requestStarted) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                        .setHeadersFactory(headers)
                        .setTrailersFactory(discardingFactory(memory)));
        this.headers = headers;
        this.requestStarted = requestStarted;
    }

    /** Trailers are not used; what a client sends of them must not occupy memory. */
    private static RequestHeadersFactory discardingFactory(MemoryBudget memory) {
        RequestHeadersFactory factory = new RequestHeadersFactory(memory);
        factory.discardAll();
        return factory;
    }

    /** Discards the head that is being decoded, and all that are still to come. */
    void discardHeads() {
        headers.discardAll();
    }

    /**
     * Whether a request has begun to arrive but is not completely decoded, including one of which
     * nothing is decoded yet.
     */
    boolean isReceiving() {
        return receiving || !isBlank(internalBuffer());
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts)
            throws Exception {
        if (!receiving && !isBlank(bytes)) {
            receiving = true;
            requestStarted.run();
        }
        super.decode(context, bytes, parts);
        for (Object part : parts) {
            receiving &= !(part instanceof LastHttpContent);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        HttpRequest request = (HttpRequest) super.createMessage(initialLine);
        RequestHeaders.of(request).reserveRequest(request.uri());
        return request;
    }

    /** Line breaks between requests belong to none of them. */
    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(b -> b == '\r' || b == '\n') < 0;
    }

    /**
     * Keeps both lengths. Guards against: choosing one of two lengths allows request smuggling, in
     * which a request hides in the body of another.
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
