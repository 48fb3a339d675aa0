package larchridge.node.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * Bounds the buffers of a connection. Guards against: a connection whose last bytes are an
 * incomplete line keeps the buffer of its last socket read, and one whose peer does not read keeps
 * what waits to be written; with Netty's defaults of 64 KiB each, a few hundred such connections
 * use up the direct memory of a small node, and other connections are closed.
 */
public final class ConnectionBuffers {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;
    private static final int LOW_WRITE_BYTES = 16 << 10;
    private static final int HIGH_WRITE_BYTES = 32 << 10;

    private ConnectionBuffers() {}

    /** Returns the sizes of the buffers of socket reads. */
    public static RecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }

    /** Returns the numbers of waiting bytes at which writing pauses and resumes. */
    public static WriteBufferWaterMark writeLimits() {
        return new WriteBufferWaterMark(LOW_WRITE_BYTES, HIGH_WRITE_BYTES);
    }
}
