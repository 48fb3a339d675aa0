package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestIdsTest {
    /** As many ended ids as docs/node.md says are remembered. */
    private static final int REMEMBERED = 4096;

    private final RequestIds ids = new RequestIds();

    @Test
    void idInFlightIsNotTakenAgain() {
        assertTrue(ids.tryTake("a"));
        assertFalse(ids.tryTake("a"));
        assertEquals(1, ids.inFlightCount());
    }

    @Test
    void idThatEndedLatelyIsNotTakenAgain() {
        ids.tryTake("a");
        ids.end("a");
        assertFalse(ids.tryTake("a"));
        assertEquals(0, ids.inFlightCount());
    }

    @Test
    void idThatEndedLongAgoIsForgotten() {
        for (int i = 0; i <= REMEMBERED; i++) {
            ids.tryTake("id" + i);
            ids.end("id" + i);
        }
        assertTrue(ids.tryTake("id0"));
        assertFalse(ids.tryTake("id1"));
    }
}
