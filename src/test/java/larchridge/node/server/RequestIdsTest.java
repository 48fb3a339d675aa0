package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestIdsTest {
    /** Number of ended ids that are remembered according to docs/node.md. */
    private static final int MAX_ENDED_IDS = 4096;

    private final RequestIds ids = new RequestIds();

    @Test
    void idInFlightIsNotAcquiredAgain() {
        assertTrue(ids.tryAcquire("a"));
        assertFalse(ids.tryAcquire("a"));
        assertEquals(1, ids.inFlightCount());
    }

    @Test
    void recentlyEndedIdIsNotAcquiredAgain() {
        ids.tryAcquire("a");
        ids.markEnded("a");
        assertFalse(ids.tryAcquire("a"));
        assertEquals(0, ids.inFlightCount());
    }

    @Test
    void idThatEndedLongAgoIsForgotten() {
        for (int i = 0; i <= MAX_ENDED_IDS; i++) {
            ids.tryAcquire("id" + i);
            ids.markEnded("id" + i);
        }
        assertTrue(ids.tryAcquire("id0"));
        assertFalse(ids.tryAcquire("id1"));
    }
}
