package larchridge.node.server;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Queues parts of pipelined requests, up to a limit, while an earlier request is served. Parts
 * beyond the limit are read and dropped. Guards against: on a connection that is no longer read, a
 * close by the client goes unnoticed, and the earlier request is forwarded for a client that has
 * left.
 */
final class PipelineQueue {
    /** Size that is assumed for a part without content. */
    private static final int HEAD_BYTES = 4096;

    private final BodyMemory memory;
    private final int maxBytes;
    private final Deque<HttpObject> parts = new ArrayDeque<>();
    private int bytes;
    private boolean overflowed;

    PipelineQueue(BodyMemory memory, int maxBytes) {
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    /** Takes ownership of a part: queues it, or releases it if there is no room for it. */
    void add(HttpObject part) {
        int partBytes = bytesOf(part);
        overflowed |= bytes + partBytes > maxBytes || !memory.canReserve(partBytes);
        if (overflowed) {
            ReferenceCountUtil.release(part);
            return;
        }
        parts.add(part);
        bytes += partBytes;
        memory.reserve(partBytes);
    }

    /** Removes the oldest part; the caller must release it. */
    HttpObject remove() {
        HttpObject part = parts.remove();
        int partBytes = bytesOf(part);
        bytes -= partBytes;
        memory.release(partBytes);
        return part;
    }

    void releaseAll() {
        while (!parts.isEmpty()) {
            ReferenceCountUtil.release(remove());
        }
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether a part was dropped; the connection must be closed after the queued parts. */
    boolean hasOverflowed() {
        return overflowed;
    }

    private static int bytesOf(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : HEAD_BYTES;
    }
}
