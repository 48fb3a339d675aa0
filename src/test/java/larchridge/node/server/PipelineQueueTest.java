package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import larchridge.node.transport.MemoryBudget;
import org.junit.jupiter.api.Test;

class PipelineQueueTest {
    private static final int MAX_BYTES = 100;
    private static final int MAX_BYTES_WITH_HEADS = 10_000;

    private final MemoryBudget memory = new MemoryBudget(150);
    private final PipelineQueue queue = new PipelineQueue(memory, MAX_BYTES);
    private final MemoryBudget largeMemory = new MemoryBudget(1_000_000);
    private final PipelineQueue largeQueue = new PipelineQueue(largeMemory, MAX_BYTES_WITH_HEADS);

    private static HttpContent content(int bytes) {
        return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private HttpRequest head() {
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", new RequestHeaders(largeMemory));
    }

    private static String textOf(HttpObject part) {
        return ((HttpContent) part).content().toString(StandardCharsets.ISO_8859_1);
    }

    @Test
    void partsAreRemovedInTheOrderInWhichTheyArrived() {
        HttpRequest first = head();
        HttpRequest second = head();
        largeQueue.add(first);
        largeQueue.add(new DefaultHttpContent(bytes("ab")));
        largeQueue.add(new DefaultHttpContent(bytes("c")));
        largeQueue.add(new DefaultLastHttpContent(bytes("d")));
        largeQueue.add(second);
        largeQueue.add(new DefaultHttpContent(bytes("ef")));
        assertSame(first, largeQueue.remove());
        assertEquals("abcd", textOf(largeQueue.remove()));
        assertSame(LastHttpContent.EMPTY_LAST_CONTENT, largeQueue.remove());
        assertSame(second, largeQueue.remove());
        assertEquals("ef", textOf(largeQueue.remove()));
        assertTrue(largeQueue.isEmpty());
        assertEquals(0, largeMemory.reservedBytes());
    }

    @Test
    void memoryIsReservedAsLongAsAPartIsQueued() {
        queue.add(content(10));
        queue.add(LastHttpContent.EMPTY_LAST_CONTENT);
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
        assertTrue(memory.tryReserve(100));
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

    /** Guards against: each part of one byte kept an object and the buffer of its socket read. */
    @Test
    void contentInTinyPartsOccupiesOnePartAndAtMostTwiceItsLength() {
        int length = MAX_BYTES_WITH_HEADS / 2;
        for (int i = 0; i < length; i++) {
            HttpContent tiny = content(1);
            largeQueue.add(tiny);
            assertEquals(0, tiny.refCnt());
        }
        assertTrue(largeMemory.reservedBytes() >= length);
        assertTrue(largeMemory.reservedBytes() <= 2L * length);
        assertEquals(length, textOf(largeQueue.remove()).length());
        assertTrue(largeQueue.isEmpty());
    }

    @Test
    void headThatIsDroppedOrReleasedFreesItsMemory() {
        for (int i = 0; i < 5; i++) {
            HttpRequest head = head();
            RequestHeaders.of(head).add("name", "value");
            largeQueue.add(head);
        }
        assertTrue(largeQueue.hasOverflowed());
        assertTrue(largeMemory.reservedBytes() > 0);
        largeQueue.releaseAll();
        assertEquals(0, largeMemory.reservedBytes());
    }

    @Test
    void failureOfTheDecoderIsKept() {
        HttpContent malformed = new DefaultLastHttpContent();
        malformed.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("chunk")));
        queue.add(content(1));
        queue.add(malformed);
        assertFalse(queue.remove().decoderResult().isFailure());
        assertTrue(queue.remove().decoderResult().isFailure());
        assertTrue(queue.isEmpty());
    }
}
