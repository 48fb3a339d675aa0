package larchridge.node.door;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Netty's decoder of requests, but a length beside chunks stays to be seen: such a request is refused, not mended. */
final class StrictDecoder extends HttpRequestDecoder {
    private static final int LINE_BYTES = 4096;
    private static final int HEAD_BYTES = 8192;
    private static final int PART_BYTES = 1 << 16;

    StrictDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(LINE_BYTES).setMaxHeaderSize(HEAD_BYTES)
                .setMaxChunkSize(PART_BYTES));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Danger: taking one of two lengths for the right one lets a request hide in another's body.
        return;
    }
}
