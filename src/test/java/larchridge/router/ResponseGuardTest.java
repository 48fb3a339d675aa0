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
        assertTrue(duty.finish(ResponseGuard.FinalAnswer.FAILED));
        for (ResponseGuard.FinalAnswer more : ResponseGuard.FinalAnswer.values()) {
            assertFalse(duty.finish(more));
        }
        assertEquals(ResponseGuard.FinalAnswer.FAILED, duty.given());
    }

    @Test
    void nothingBeginsAfterTheFinalAnswer() {
        duty.finish(ResponseGuard.FinalAnswer.DISCONNECTED);
        assertFalse(duty.begin());
    }

    @Test
    void throttledIsNoAnswerToWhatHasBegun() {
        duty.begin();
        assertThrows(
                IllegalStateException.class, () -> duty.finish(ResponseGuard.FinalAnswer.REJECTED));
        assertTrue(duty.finish(ResponseGuard.FinalAnswer.COMPLETED));
    }

    @Test
    void streamedNeedsABeginning() {
        assertThrows(
                IllegalStateException.class,
                () -> duty.finish(ResponseGuard.FinalAnswer.COMPLETED));
    }
}
