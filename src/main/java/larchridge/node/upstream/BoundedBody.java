package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;

/** The body of a response that is short by its nature, kept up to a limit. */
final class BoundedBody extends ByteArrayOutputStream {
    private static final int INITIAL_BYTES = 64;
    private static final int MAX_BYTES = 4096;

    BoundedBody() {
        super(INITIAL_BYTES);
    }

    /** Appends a part of the body; false if the body is now longer than allowed. */
    boolean append(ByteBuf content) {
        writeBytes(ByteBufUtil.getBytes(content));
        return size() <= MAX_BYTES;
    }
}
