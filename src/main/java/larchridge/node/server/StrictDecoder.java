package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Netty's decoder of requests, but a length beside chunks stays to be seen: such a request is
 * refused, not mended. It also tells whether a part of a request has come, from its first byte on,
 * long before its head is whole.
 */
final class StrictDecoder extends HttpRequestDecoder {
    private static final int LINE_BYTES = 4096;
    private static final int HEAD_BYTES = 8192;
    private static final int PART_BYTES = 1 << 16;

    private final Runnable started;
    private boolean receiving;

    /**
     * A decoder for one connection.
     *
     * @param started runs at the first byte of each request
     */
    StrictDecoder(Runnable started) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(LINE_BYTES)
                        .setMaxHeaderSize(HEAD_BYTES)
                        .setMaxChunkSize(PART_BYTES));
        this.started = started;
    }

    /**
     * Whether a part of a request has come that is not decoded to its end, also where it waits
     * behind a whole one.
     */
    boolean isReceiving() {
        return receiving || !isBlank(internalBuffer());
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts)
            throws Exception {
        if (!receiving && !isBlank(bytes)) {
            receiving = true;
            started.run();
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

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Guards against: taking one of two lengths for the right one lets a request hide in
        // another's
        // body.

    }
}
