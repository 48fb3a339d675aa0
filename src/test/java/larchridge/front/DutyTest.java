package larchridge.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DutyTest {
    private final Duty duty = new Duty();

    @Test
    void oneFinalAnswerAndNoSecond() {
        assertTrue(duty.finish(Duty.Final.TERMINATED));
        for (Duty.Final more : Duty.Final.values()) {
            assertFalse(duty.finish(more));
        }
        assertEquals(Duty.Final.TERMINATED, duty.given());
    }

    @Test
    void nothingBeginsAfterTheFinalAnswer() {
        duty.finish(Duty.Final.GONE);
        assertFalse(duty.begin());
    }

    @Test
    void throttledIsNoAnswerToWhatHasBegun() {
        duty.begin();
        assertThrows(IllegalStateException.class, () -> duty.finish(Duty.Final.THROTTLED));
        assertTrue(duty.finish(Duty.Final.STREAMED));
    }

    @Test
    void streamedNeedsABeginning() {
        assertThrows(IllegalStateException.class, () -> duty.finish(Duty.Final.STREAMED));
    }
}
