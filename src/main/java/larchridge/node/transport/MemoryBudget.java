package larchridge.node.server;

/**
 * Counts the heap memory of all buffered parts of requests, over all connections, against a limit.
 * Callers reserve what a part occupies as objects, not the length of its content: a part with one
 * byte of content may occupy a hundred times as much.
 */
final class RequestMemory {
    private final long maxBytes;
    private long reservedBytes;

    RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves memory; returns false, without reserving any, if the limit would be exceeded. */
    boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }
}
