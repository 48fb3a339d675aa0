package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RehearsalTest {
    @Test
    void nearlyEveryGenerationIsServedWholeThoughSomeAnswersAreBad() {
        assertTrue(Rehearsal.play(120, 60_000) >= 110);
    }
}
