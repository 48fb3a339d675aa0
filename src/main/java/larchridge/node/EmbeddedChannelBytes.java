package larchridge.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;

/** Bytes of the connections in memory that a warm-up uses. */
final class EmbeddedChannelBytes {
    private static final int INITIAL_CAPACITY = 256;

    private EmbeddedChannelBytes() {}

    /** The bytes of a text in ISO 8859-1. */
    static ByteBuf of(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** All that was written to a connection since the last call; null if nothing was. */
    static ByteBuf readOutbound(EmbeddedChannel connection) {
        ByteBuf all = null;
        for (Object part = connection.readOutbound();
                part != null;
                part = connection.readOutbound()) {
            ByteBuf bytes = (ByteBuf) part;
            all = all == null ? Unpooled.buffer(INITIAL_CAPACITY) : all;
            all.writeBytes(bytes);
            bytes.release();
        }
        return all;
    }
}
