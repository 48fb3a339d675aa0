package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** Aggregates the body of the request that is being read, and accounts for its memory. */
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

    /** Whether the body stays within its limit with so many bytes more. */
    boolean canGrowBy(int additionalBytes) {
        return length + additionalBytes <= maxBytes;
    }

    /** Whether the memory for so many bytes more is free. */
    boolean hasMemoryFor(int additionalBytes) {
        return memory.canReserve(additionalBytes);
    }

    /** Copies bytes of which there may be so many. */
    void append(ByteBuf content) {
        int additionalBytes = content.readableBytes();
        if (length + additionalBytes > bytes.length) {
            // It grows with what arrives: a length that is only declared costs nothing.
            int doubledCapacity = Math.min(2 * bytes.length, maxBytes);
            bytes = Arrays.copyOf(bytes, Math.max(length + additionalBytes, doubledCapacity));
        }
        content.getBytes(content.readerIndex(), bytes, length, additionalBytes);
        length += additionalBytes;
        memory.reserve(additionalBytes);
    }

    /** Hands the body out; its memory stays reserved for the caller to release. */
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
