package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import larchridge.node.transport.MemoryBudget;

/**
 * Queues parts of pipelined requests, up to a limit, while an earlier request is served. Parts
 * beyond the limit are read and dropped. Guards against: on a connection that is no longer read, a
 * close by the client goes unnoticed, and the earlier request is forwarded for a client that has
 * left.
 *
 * <p>The content of a body is copied into one buffer, however many parts it arrives in. Guards
 * against: each part is an object that keeps the buffer of its socket read in memory, so that a
 * body in parts of one byte would exhaust the heap far below the limit.
 */
final class PipelineQueue {
    /** Size that is assumed for the head of a request. */
    private static final int HEAD_BYTES = 4096;

    private final MemoryBudget memory;
    private final int maxBytes;
    private final Deque<QueuedPart> parts = new ArrayDeque<>();
    private int bytes;
    private boolean overflowed;

    /** A part of a request. */
    private sealed interface QueuedPart permits QueuedHead, QueuedContent, QueuedEnd {}

    /** The head of a request. */
    private record QueuedHead(HttpRequest head) implements QueuedPart {}

    /** All content of a body that has been received so far. */
    private record QueuedContent(RequestBodyBuffer buffer) implements QueuedPart {}

    /** The end of a request, without content. */
    private record QueuedEnd(LastHttpContent end) implements QueuedPart {}

    PipelineQueue(MemoryBudget memory, int maxBytes) {
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    /** Takes ownership of a part: queues it, or releases it if there is no room for it. */
    void add(HttpObject part) {
        if (part instanceof HttpRequest head) {
            addHead(head);
        } else {
            addContent((HttpContent) part);
            ReferenceCountUtil.release(part);
        }
    }

    private void addHead(HttpRequest head) {
        overflowed |= bytes + HEAD_BYTES > maxBytes;
        if (overflowed) {
            releaseHead(head);
            return;
        }
        parts.add(new QueuedHead(head));
        bytes += HEAD_BYTES;
    }

    private void addContent(HttpContent content) {
        overflowed |= !tryAppend(content.content());
        if (overflowed) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            LastHttpContent end = new DefaultLastHttpContent();
            end.setDecoderResult(content.decoderResult());
            parts.add(new QueuedEnd(end));
        } else if (content instanceof LastHttpContent) {
            parts.add(new QueuedEnd(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    /** Appends a copy to the content that is queued last; returns false if there is no room. */
    private boolean tryAppend(ByteBuf content) {
        int additionalBytes = content.readableBytes();
        if (overflowed || bytes + additionalBytes > maxBytes) {
            return false;
        }
        if (additionalBytes == 0) {
            return true;
        }
        if (!(parts.peekLast() instanceof QueuedContent)) {
            parts.add(new QueuedContent(new RequestBodyBuffer(memory, maxBytes)));
        }
        QueuedContent last = (QueuedContent) parts.getLast();
        if (!last.buffer.tryAppend(content)) {
            return false;
        }
        bytes += additionalBytes;
        return true;
    }

    /** Removes the oldest part; the caller must release it. */
    HttpObject remove() {
        QueuedPart part = parts.remove();
        if (part instanceof QueuedHead queued) {
            bytes -= HEAD_BYTES;
            return queued.head;
        }
        if (part instanceof QueuedContent queued) {
            byte[] content = queued.buffer.take();
            bytes -= content.length;
            memory.release(content.length);
            return new DefaultHttpContent(Unpooled.wrappedBuffer(content));
        }
        return ((QueuedEnd) part).end;
    }

    void releaseAll() {
        while (!parts.isEmpty()) {
            HttpObject part = remove();
            if (part instanceof HttpRequest head) {
                releaseHead(head);
            } else {
                ReferenceCountUtil.release(part);
            }
        }
    }

    private static void releaseHead(HttpRequest head) {
        RequestHeaders.of(head).discard();
        ReferenceCountUtil.release(head);
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether a part was dropped; the connection must be closed after the queued parts. */
    boolean hasOverflowed() {
        return overflowed;
    }
}
