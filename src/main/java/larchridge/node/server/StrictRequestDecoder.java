package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Netty's decoder of requests, but a length beside chunks stays visible: such a request is
 * rejected, not repaired. It also reports whether a part of a request has arrived, from its first
 * byte on, long before its head is complete.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 1 << 16;

    private final Runnable requestStarted;
    private boolean receiving;

    /**
     * A decoder for one connection.
     *
     * @param requestStarted runs at the first byte of each request
     */
    StrictRequestDecoder(Runnable requestStarted) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
        this.requestStarted = requestStarted;
    }

    /**
     * Whether a part of a request has arrived that is not decoded to its end, also where it waits
     * behind a complete one.
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

    /** Line ends between requests belong to none. */
    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(b -> b == '\r' || b == '\n') < 0;
    }

    /**
     * Leaves both lengths in place. Guards against: taking one of two lengths for the right one
     * lets a request hide in another's body.
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
