package larchridge.node.transport;

/**
 * Counts heap memory against a limit. Callers reserve what they keep as objects, not the length of
 * its content: a part of a message with one byte of content may occupy a hundred times as much.
 */
public final class MemoryBudget {
    private final long maxBytes;
    private long reservedBytes;

    /** Creates a budget of which nothing is reserved. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves memory; returns false, without reserving any, if the limit would be exceeded. */
    public boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved memory. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns how much is reserved. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
