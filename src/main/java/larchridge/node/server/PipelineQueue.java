package larchridge.node.server;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Parts of requests that arrived while one before them is served, up to a limit. Guards against: a
 * connection that is not read on hides that its client has closed it, and the request before would
 * be forwarded for nobody; so what is beyond the limit is read and dropped.
 */
final class PipelineQueue {
    /** What a part that is no content counts for. */
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

    /** Takes over a part: it is kept, or released if there is no room for it. */
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

    /** Removes the oldest part, which the caller has to release. */
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

    /** Whether a part was dropped; the connection has to end after what was kept. */
    boolean hasOverflowed() {
        return overflowed;
    }

    private static int bytesOf(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : HEAD_BYTES;
    }
}
