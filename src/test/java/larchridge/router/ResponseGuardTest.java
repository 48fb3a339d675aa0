package larchridge.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseGuardTest {
    private final ResponseGuard responseGuard = new ResponseGuard();

    @Test
    void oneFinalAnswerAndNoSecond() {
        assertTrue(responseGuard.finish(ResponseGuard.FinalAnswer.FAILED));
        for (ResponseGuard.FinalAnswer more : ResponseGuard.FinalAnswer.values()) {
            assertFalse(responseGuard.finish(more));
        }
        assertEquals(ResponseGuard.FinalAnswer.FAILED, responseGuard.given());
    }

    @Test
    void responseCannotBeginAfterTheFinalAnswer() {
        responseGuard.finish(ResponseGuard.FinalAnswer.DISCONNECTED);
        assertFalse(responseGuard.begin());
    }

    @Test
    void responseThatHasBegunCannotBeRejected() {
        responseGuard.begin();
        assertThrows(
                IllegalStateException.class,
                () -> responseGuard.finish(ResponseGuard.FinalAnswer.REJECTED));
        assertTrue(responseGuard.finish(ResponseGuard.FinalAnswer.COMPLETED));
    }

    @Test
    void responseThatHasNotBegunCannotBeCompleted() {
        assertThrows(
                IllegalStateException.class,
                () -> responseGuard.finish(ResponseGuard.FinalAnswer.COMPLETED));
    }

    /** The ledgers of all builds since f8721a5 hold these words. */
    @Test
    void recordedNamesAreThoseOfEarlierBuilds() {
        assertEquals(
                List.of("streamed", "throttled", "terminated", "gone"),
                Arrays.stream(ResponseGuard.FinalAnswer.values())
                        .map(answer -> answer.recordedName)
                        .toList());
    }
}
