package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import org.junit.jupiter.api.Test;

class PipelineQueueTest {
    private static final int MAX_BYTES = 100;

    private final BodyMemory memory = new BodyMemory(150);
    private final PipelineQueue queue = new PipelineQueue(memory, MAX_BYTES);

    private static HttpContent content(int bytes) {
        return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    @Test
    void partsAreRemovedInTheOrderInWhichTheyArrived() {
        HttpContent first = content(10);
        HttpContent second = content(20);
        queue.add(first);
        queue.add(second);
        assertSame(first, queue.remove());
        assertSame(second, queue.remove());
        assertTrue(queue.isEmpty());
    }

    @Test
    void memoryIsReservedAsLongAsAPartIsQueued() {
        queue.add(content(10));
        queue.add(content(20));
        assertEquals(30, memory.reservedBytes());
        queue.remove();
        assertEquals(20, memory.reservedBytes());
        queue.releaseAll();
        assertEquals(0, memory.reservedBytes());
    }

    @Test
    void partBeyondTheLimitIsReleasedAndReported() {
        queue.add(content(MAX_BYTES));
        assertFalse(queue.hasOverflowed());
        HttpContent beyond = content(1);
        queue.add(beyond);
        assertTrue(queue.hasOverflowed());
        assertEquals(0, beyond.refCnt());
        assertEquals(MAX_BYTES, memory.reservedBytes());
    }

    @Test
    void partForWhichThereIsNoMemoryIsReleasedAndReported() {
        memory.reserve(100);
        HttpContent beyond = content(60);
        queue.add(beyond);
        assertTrue(queue.hasOverflowed());
        assertEquals(0, beyond.refCnt());
        assertEquals(100, memory.reservedBytes());
    }

    @Test
    void nothingIsQueuedBehindADroppedPart() {
        queue.add(content(MAX_BYTES + 1));
        HttpContent small = content(1);
        queue.add(small);
        assertTrue(queue.isEmpty());
        assertEquals(0, small.refCnt());
    }

    @Test
    void queuedPartsAreReleasedTogether() {
        HttpContent first = content(10);
        HttpContent second = content(10);
        queue.add(first);
        queue.add(second);
        queue.releaseAll();
        assertEquals(0, first.refCnt());
        assertEquals(0, second.refCnt());
        assertTrue(queue.isEmpty());
    }
}
