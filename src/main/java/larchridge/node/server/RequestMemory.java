package larchridge.node.server;

/** Counts the bytes of buffered request bodies, over all connections, against a limit. */
final class BodyMemory {
    private final long maxBytes;
    private long reservedBytes;

    BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    boolean canReserve(int bytes) {
        return reservedBytes + bytes <= maxBytes;
    }

    void reserve(int bytes) {
        reservedBytes += bytes;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }
}
