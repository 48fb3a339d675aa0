package larchridge.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventStreamCheckerTest {
    private final EventStreamChecker checker = new EventStreamChecker();

    private static String event(String name) {
        return "event: "
                + name
                + "\ndata: {\"type\":\""
                + name
                + "\",\"delta\":{\"text\":\"a\"}}\n\n";
    }

    private void appendEvents(String... names) {
        for (String name : names) {
            checker.append(event(name));
        }
    }

    @Test
    void specifiedOrderIsValid() {
        appendEvents(
                "message_start",
                "content_block_start",
                "ping",
                "content_block_delta",
                "content_block_stop",
                "message_delta",
                "message_stop");
        assertNull(checker.fault());
        assertTrue(checker.isStopped());
        assertEquals("a", checker.text());
    }

    @Test
    void eventsMayBeSplitAnywhere() {
        String all =
                event("message_start")
                        + event("content_block_start")
                        + event("content_block_delta");
        for (int i = 0; i < all.length(); i++) {
            checker.append(all.substring(i, i + 1));
        }
        assertNull(checker.fault());
        assertEquals("a", checker.text());
    }

    @Test
    void invalidOrderIsAFault() {
        appendEvents("message_start", "content_block_delta");
        assertNotNull(checker.fault());
    }

    @Test
    void messageStopWithoutMessageDeltaIsAFault() {
        appendEvents("message_start", "content_block_start", "content_block_stop", "message_stop");
        assertNotNull(checker.fault());
    }

    @Test
    void eventsAfterTheEndAreCounted() {
        appendEvents("message_start", "error", "ping", "message_stop");
        assertEquals(2, checker.eventsAfterEnd());
        assertTrue(checker.isErrored());
    }
}
