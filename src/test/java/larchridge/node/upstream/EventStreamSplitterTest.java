package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventStreamSplitterTest {
    private static final String EVENTS =
            "data: {\"choices\":[{\"delta\":{\"content\":\"\u00e1\"}}]}\n\ndata: {\"usage\":{}}\n\ndata: [DONE]\n\n";

    private static byte[] feed(EventStreamSplitter cutter, byte[] bytes) {
        return cutter.feed(Unpooled.wrappedBuffer(bytes));
    }

    private static byte[] feed(EventStreamSplitter cutter, String text) {
        return feed(cutter, text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void eventsComeOutByteByByteAsTheyWereHoweverTheyAreCut() throws Exception {
        byte[] all = EVENTS.getBytes(StandardCharsets.UTF_8);
        for (int step = 1; step <= all.length; step++) {
            EventStreamSplitter cutter = new EventStreamSplitter(1000, "Srv-Load");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int at = 0; at < all.length; at += step) {
                byte[] whole =
                        feed(
                                cutter,
                                java.util.Arrays.copyOfRange(
                                        all, at, Math.min(all.length, at + step)));
                if (whole != null) {
                    out.write(whole);
                }
            }
            assertArrayEquals(all, out.toByteArray(), "step " + step);
            assertTrue(cutter.isWhole());
        }
    }

    @Test
    void reportsInCommentsAreKeptAndNotPassedOn() {
        EventStreamSplitter cutter = new EventStreamSplitter(1000, "Srv-Load");
        assertNull(feed(cutter, ": Srv-Load: a=1\n\n"));
        assertEquals("a=1", cutter.report());
        assertFalse(cutter.isNoise());
    }

    @Test
    void noiseEndlessLinesAndEventsBehindTheEndAreNotPassedOn() {
        String[] bad = {
            "noise\n\n",
            "data: {\u0001}\n\n",
            "data: \n\n",
            "x".repeat(2000),
            "data: [DONE]\n\ndata: {}\n\n"
        };
        for (String text : bad) {
            EventStreamSplitter cutter = new EventStreamSplitter(1000, "Srv-Load");
            byte[] whole = feed(cutter, text);
            assertTrue(cutter.isNoise(), text);
            assertFalse(cutter.isWhole());
            assertTrue(
                    whole == null
                            || new String(whole, StandardCharsets.UTF_8)
                                    .equals("data: [DONE]\n\n"));
        }
    }

    @Test
    void halfAnEventIsNotWhole() {
        EventStreamSplitter cutter = new EventStreamSplitter(1000, "Srv-Load");
        feed(cutter, EVENTS + "data: {");
        assertFalse(cutter.isWhole());
    }
}
