package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;

/** Buffers the body of a short response, up to a size limit. */
final class BoundedBody extends ByteArrayOutputStream {
    private static final int INITIAL_BYTES = 64;
    private static final int MAX_BYTES = 4096;

    BoundedBody() {
        super(INITIAL_BYTES);
    }

    /** Appends body bytes; returns false if the body now exceeds the limit. */
    boolean append(ByteBuf content) {
        writeBytes(ByteBufUtil.getBytes(content));
        return size() <= MAX_BYTES;
    }
}
