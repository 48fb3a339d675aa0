package larchridge.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventStreamCheckerTest {
    private final EventStreamChecker order = new EventStreamChecker();

    private static String event(String name) {
        return "event: "
                + name
                + "\ndata: {\"type\":\""
                + name
                + "\",\"delta\":{\"text\":\"a\"}}\n\n";
    }

    private void take(String... names) {
        for (String name : names) {
            order.take(event(name));
        }
    }

    @Test
    void orderOfTheSpecificationIsGood() {
        take(
                "message_start",
                "content_block_start",
                "ping",
                "content_block_delta",
                "content_block_stop",
                "message_delta",
                "message_stop");
        assertNull(order.fault());
        assertTrue(order.isStopped());
        assertEquals("a", order.text());
    }

    @Test
    void eventsCutAnywhereAreTheSame() {
        String all =
                event("message_start")
                        + event("content_block_start")
                        + event("content_block_delta");
        for (int i = 0; i < all.length(); i++) {
            order.take(all.substring(i, i + 1));
        }
        assertNull(order.fault());
        assertEquals("a", order.text());
    }

    @Test
    void wrongOrdersAreFaults() {
        take("message_start", "content_block_delta");
        assertNotNull(order.fault());
    }

    @Test
    void stopWithoutItsDeltaIsAFault() {
        take("message_start", "content_block_start", "content_block_stop", "message_stop");
        assertNotNull(order.fault());
    }

    @Test
    void eventsAfterTheLastAreCounted() {
        take("message_start", "error", "ping", "message_stop");
        assertEquals(2, order.afterEnd());
        assertTrue(order.isErrored());
    }
}
