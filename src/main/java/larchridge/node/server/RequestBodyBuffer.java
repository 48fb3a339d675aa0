package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import larchridge.node.transport.MemoryBudget;

/** Aggregates the body of a request and accounts for its memory. */
final class RequestBodyBuffer {
    private static final byte[] EMPTY = new byte[0];

    private final MemoryBudget memory;
    private final int maxBytes;

    /** Reserved in full, with the part that is not used yet. */
    private byte[] bytes = EMPTY;

    private int length;

    RequestBodyBuffer(MemoryBudget memory, int maxBytes) {
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    boolean isEmpty() {
        return length == 0;
    }

    int length() {
        return length;
    }

    /** Whether the body stays within its limit with this many additional bytes. */
    boolean canGrowBy(int additionalBytes) {
        return length + additionalBytes <= maxBytes;
    }

    /**
     * Appends a copy of some content; the caller has checked that the body stays within its limit.
     * Returns false, without a change, if there is no memory for it.
     */
    boolean tryAppend(ByteBuf content) {
        int additionalBytes = content.readableBytes();
        if (!tryEnsureCapacity(length + additionalBytes)) {
            return false;
        }
        content.getBytes(content.readerIndex(), bytes, length, additionalBytes);
        length += additionalBytes;
        return true;
    }

    /**
     * The buffer grows with the data received: a length that is only declared allocates nothing.
     */
    private boolean tryEnsureCapacity(int neededBytes) {
        if (neededBytes <= bytes.length) {
            return true;
        }
        int doubledCapacity = Math.min(2 * bytes.length, maxBytes);
        int capacity = Math.max(neededBytes, doubledCapacity);
        if (!memory.tryReserve(capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /**
     * Returns the body and empties the buffer; the memory of the body stays reserved until the
     * caller releases it.
     */
    byte[] take() {
        memory.release(bytes.length - length);
        byte[] body = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
        clear();
        return body;
    }

    void discard() {
        memory.release(bytes.length);
        clear();
    }

    private void clear() {
        bytes = EMPTY;
        length = 0;
    }
}
