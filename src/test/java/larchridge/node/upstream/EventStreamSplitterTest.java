package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import larchridge.node.transport.MemoryBudget;
import org.junit.jupiter.api.Test;

class EventStreamSplitterTest {
    private static final String EVENTS =
            "data: {\"choices\":[{\"delta\":{\"content\":\"\u00e1\"}}]}\n\ndata: {\"usage\":{}}\n\ndata: [DONE]\n\n";

    private final MemoryBudget memory = new MemoryBudget(2000);

    private static byte[] feed(EventStreamSplitter splitter, byte[] bytes) {
        return splitter.feed(Unpooled.wrappedBuffer(bytes));
    }

    private static byte[] feed(EventStreamSplitter splitter, String text) {
        return feed(splitter, text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void eventsAreUnchangedHoweverTheStreamIsSplit() throws Exception {
        byte[] all = EVENTS.getBytes(StandardCharsets.UTF_8);
        for (int step = 1; step <= all.length; step++) {
            EventStreamSplitter splitter = new EventStreamSplitter(1000, "Srv-Load", memory);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int at = 0; at < all.length; at += step) {
                byte[] events =
                        feed(
                                splitter,
                                java.util.Arrays.copyOfRange(
                                        all, at, Math.min(all.length, at + step)));
                if (events != null) {
                    out.write(events);
                }
            }
            assertArrayEquals(all, out.toByteArray(), "step " + step);
            assertTrue(splitter.isComplete());
        }
    }

    @Test
    void loadReportsInCommentsAreKeptAndNotForwarded() {
        EventStreamSplitter splitter = new EventStreamSplitter(1000, "Srv-Load", memory);
        assertNull(feed(splitter, ": Srv-Load: a=1\n\n"));
        assertEquals("a=1", splitter.loadReport());
        assertFalse(splitter.isMalformed());
    }

    @Test
    void malformedEndlessAndTrailingEventsAreNotForwarded() {
        String[] malformedStreams = {
            "noise\n\n",
            "data: {\u0001}\n\n",
            "data: \n\n",
            "x".repeat(2000),
            "data: [DONE]\n\ndata: {}\n\n"
        };
        for (String text : malformedStreams) {
            EventStreamSplitter splitter = new EventStreamSplitter(1000, "Srv-Load", memory);
            byte[] events = feed(splitter, text);
            assertTrue(splitter.isMalformed(), text);
            assertFalse(splitter.isComplete());
            assertTrue(
                    events == null
                            || new String(events, StandardCharsets.UTF_8)
                                    .equals("data: [DONE]\n\n"));
        }
    }

    @Test
    void partialEventIsNotComplete() {
        EventStreamSplitter splitter = new EventStreamSplitter(1000, "Srv-Load", memory);
        feed(splitter, EVENTS + "data: {");
        assertFalse(splitter.isComplete());
    }

    /** Guards against: events without an end, each within its limit, fill the heap together. */
    @Test
    void incompleteEventsOfAllStreamsShareABound() {
        EventStreamSplitter first = new EventStreamSplitter(3000, "Srv-Load", memory);
        EventStreamSplitter second = new EventStreamSplitter(3000, "Srv-Load", memory);
        feed(first, "data: {" + "x".repeat(1500));
        assertFalse(first.isMalformed());
        long reserved = memory.reservedBytes();
        assertTrue(reserved >= 900, "" + reserved);
        feed(second, "data: {" + "x".repeat(2500));
        assertTrue(second.isMalformed());
        second.release();
        assertEquals(reserved, memory.reservedBytes());
        first.release();
        assertEquals(0, memory.reservedBytes());
        assertNull(feed(first, "}\n\n"));
    }

    @Test
    void memoryOfALargeReadIsFreeOnceItsEventsAreComplete() {
        EventStreamSplitter splitter = new EventStreamSplitter(1000, "Srv-Load", memory);
        String event = "data: {" + "x".repeat(400) + "}\n\n";
        assertEquals(40 * event.length(), feed(splitter, event.repeat(40) + "data: {").length);
        assertEquals(0, memory.reservedBytes());
        assertEquals("data: {}\n\n".length(), feed(splitter, "}\n\n").length);
    }
}
