package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** Aggregates the body of the request that is being read and accounts for its memory. */
final class RequestBodyBuffer {
    private static final byte[] EMPTY = new byte[0];

    private final BodyMemory memory;
    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int length;

    RequestBodyBuffer(BodyMemory memory, int maxBytes) {
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    boolean isEmpty() {
        return length == 0;
    }

    /** Whether the body stays within its limit with this many additional bytes. */
    boolean canGrowBy(int additionalBytes) {
        return length + additionalBytes <= maxBytes;
    }

    /** Whether memory for this many additional bytes is available. */
    boolean hasMemoryFor(int additionalBytes) {
        return memory.canReserve(additionalBytes);
    }

    /** Appends content; the caller has checked that there is room and memory for it. */
    void append(ByteBuf content) {
        int additionalBytes = content.readableBytes();
        if (length + additionalBytes > bytes.length) {
            // The buffer grows with the data received: a length that is only declared allocates
            // nothing.
            int doubledCapacity = Math.min(2 * bytes.length, maxBytes);
            bytes = Arrays.copyOf(bytes, Math.max(length + additionalBytes, doubledCapacity));
        }
        content.getBytes(content.readerIndex(), bytes, length, additionalBytes);
        length += additionalBytes;
        memory.reserve(additionalBytes);
    }

    /**
     * Returns the body and empties the buffer; the memory stays reserved until the caller releases
     * it.
     */
    byte[] take() {
        byte[] body = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
        bytes = EMPTY;
        length = 0;
        return body;
    }

    void discard() {
        memory.release(length);
        bytes = EMPTY;
        length = 0;
    }
}
