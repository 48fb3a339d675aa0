package larchridge.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;

/** Reads and creates the bytes that are exchanged with embedded channels during a warm-up. */
final class EmbeddedChannelBytes {
    private static final int INITIAL_CAPACITY = 256;

    private EmbeddedChannelBytes() {}

    /** Encodes a text in ISO 8859-1. */
    static ByteBuf of(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** Returns all bytes written to a connection since the last call, or null if there are none. */
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
