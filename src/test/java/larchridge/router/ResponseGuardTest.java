package larchridge.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResponseGuardTest {
    private final ResponseGuard duty = new ResponseGuard();

    @Test
    void oneFinalAnswerAndNoSecond() {
        assertTrue(duty.finish(ResponseGuard.Final.TERMINATED));
        for (ResponseGuard.Final more : ResponseGuard.Final.values()) {
            assertFalse(duty.finish(more));
        }
        assertEquals(ResponseGuard.Final.TERMINATED, duty.given());
    }

    @Test
    void nothingBeginsAfterTheFinalAnswer() {
        duty.finish(ResponseGuard.Final.GONE);
        assertFalse(duty.begin());
    }

    @Test
    void throttledIsNoAnswerToWhatHasBegun() {
        duty.begin();
        assertThrows(IllegalStateException.class, () -> duty.finish(ResponseGuard.Final.THROTTLED));
        assertTrue(duty.finish(ResponseGuard.Final.STREAMED));
    }

    @Test
    void streamedNeedsABeginning() {
        assertThrows(IllegalStateException.class, () -> duty.finish(ResponseGuard.Final.STREAMED));
    }
}
