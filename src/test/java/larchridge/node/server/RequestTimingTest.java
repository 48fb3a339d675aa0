package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * The limits are 1,000 ms for a part of a request, 1,500 ms for a request and 3,000 ms of idle
 * time.
 */
class RequestTimingTest {
    private static final ServerLimits LIMITS =
            new ServerLimits(10, 1000, 10_000, 1000, 1500, 3000, 500);
    private static final double ACCEPTED_MS = 100_000;

    private final RequestTiming timing = new RequestTiming(LIMITS, ACCEPTED_MS);

    @Test
    void firstHeadIsTimedFromTheAccept() {
        timing.firstByteReceived(ACCEPTED_MS + 900);
        assertFalse(timing.isHeadOverdue(ACCEPTED_MS + 1000));
        assertTrue(timing.isHeadOverdue(ACCEPTED_MS + 1001));
    }

    @Test
    void firstBodyIsTimedFromItsHead() {
        timing.headReceived(ACCEPTED_MS + 200);
        assertFalse(timing.isBodyOverdue(ACCEPTED_MS + 1200));
        assertTrue(timing.isBodyOverdue(ACCEPTED_MS + 1201));
    }

    @Test
    void firstRequestIsTimedFromTheAccept() {
        timing.headReceived(ACCEPTED_MS + 900);
        assertFalse(timing.isBodyOverdue(ACCEPTED_MS + 1500));
        assertTrue(timing.isBodyOverdue(ACCEPTED_MS + 1501));
    }

    @Test
    void laterHeadIsTimedFromItsFirstByte() {
        timing.headReceived(ACCEPTED_MS + 10);
        timing.becameIdle(ACCEPTED_MS + 50);
        timing.firstByteReceived(ACCEPTED_MS + 2000);
        assertFalse(timing.isHeadOverdue(ACCEPTED_MS + 3000));
        assertTrue(timing.isHeadOverdue(ACCEPTED_MS + 3001));
    }

    @Test
    void laterRequestIsTimedFromItsFirstByte() {
        timing.headReceived(ACCEPTED_MS + 10);
        timing.becameIdle(ACCEPTED_MS + 50);
        timing.firstByteReceived(ACCEPTED_MS + 2000);
        timing.headReceived(ACCEPTED_MS + 2900);
        assertFalse(timing.isBodyOverdue(ACCEPTED_MS + 3500));
        assertTrue(timing.isBodyOverdue(ACCEPTED_MS + 3501));
    }

    @Test
    void pipelinedRequestIsTimedFromTheResponseBeforeIt() {
        timing.headReceived(ACCEPTED_MS + 10);
        timing.firstByteReceived(ACCEPTED_MS + 20);
        timing.becameIdle(ACCEPTED_MS + 5000);
        assertFalse(timing.isHeadOverdue(ACCEPTED_MS + 6000));
        assertTrue(timing.isHeadOverdue(ACCEPTED_MS + 6001));
    }

    @Test
    void idleTimeCountsFromTheLastResponse() {
        timing.headReceived(ACCEPTED_MS + 10);
        timing.becameIdle(ACCEPTED_MS + 2000);
        assertFalse(timing.isIdleTooLong(ACCEPTED_MS + 5000));
        assertTrue(timing.isIdleTooLong(ACCEPTED_MS + 5001));
    }
}
