package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import larchridge.node.transport.MemoryBudget;
import org.junit.jupiter.api.Test;

class RequestBodyBufferTest {
    private static final int MAX_BYTES = 10;

    private final MemoryBudget memory = new MemoryBudget(15);
    private final RequestBodyBuffer body = new RequestBodyBuffer(memory, MAX_BYTES);

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Test
    void chunksAreJoinedInTheirOrder() {
        for (String chunk : new String[] {"ab", "c", "", "defgh", "ij"}) {
            body.tryAppend(bytes(chunk));
        }
        assertArrayEquals("abcdefghij".getBytes(StandardCharsets.ISO_8859_1), body.take());
    }

    @Test
    void takenBodyIsAsLongAsWhatArrived() {
        body.tryAppend(bytes("abc"));
        body.tryAppend(bytes("d"));
        assertEquals(4, body.take().length);
    }

    @Test
    void appendingDoesNotConsumeTheContent() {
        ByteBuf content = bytes("abc");
        body.tryAppend(content);
        assertEquals(3, content.readableBytes());
    }

    @Test
    void bodyGrowsToItsLimitAndNotBeyond() {
        body.tryAppend(bytes("abcd"));
        assertTrue(body.canGrowBy(MAX_BYTES - 4));
        assertFalse(body.canGrowBy(MAX_BYTES - 3));
    }

    @Test
    void memoryOfATakenBodyStaysReserved() {
        body.tryAppend(bytes("abcd"));
        body.take();
        assertTrue(body.isEmpty());
        assertEquals(4, memory.reservedBytes());
    }

    @Test
    void memoryOfADiscardedBodyIsReleased() {
        body.tryAppend(bytes("abcd"));
        body.discard();
        assertTrue(body.isEmpty());
        assertEquals(0, memory.reservedBytes());
    }

    @Test
    void memoryIsSharedWithOtherBodies() {
        assertTrue(memory.tryReserve(9));
        assertFalse(body.tryAppend(bytes("abcdefg")));
        assertTrue(body.isEmpty());
        assertTrue(body.tryAppend(bytes("abcdef")));
        assertEquals(15, memory.reservedBytes());
    }

    /** Guards against: a buffer that has doubled occupied up to twice what was counted. */
    @Test
    void unusedCapacityIsReservedUntilTheBodyIsTaken() {
        body.tryAppend(bytes("abcd"));
        body.tryAppend(bytes("e"));
        assertEquals(8, memory.reservedBytes());
        body.take();
        assertEquals(5, memory.reservedBytes());
    }
}
