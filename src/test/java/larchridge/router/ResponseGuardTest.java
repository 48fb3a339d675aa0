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
    void onlyOneFinalResponseIsAccepted() {
        assertTrue(responseGuard.finish(ResponseGuard.FinalResponse.FAILED));
        for (ResponseGuard.FinalResponse second : ResponseGuard.FinalResponse.values()) {
            assertFalse(responseGuard.finish(second));
        }
        assertEquals(ResponseGuard.FinalResponse.FAILED, responseGuard.finalResponse());
    }

    @Test
    void responseCannotStartAfterTheFinalResponse() {
        responseGuard.finish(ResponseGuard.FinalResponse.DISCONNECTED);
        assertFalse(responseGuard.start());
    }

    @Test
    void startedResponseCannotBeRejected() {
        responseGuard.start();
        assertThrows(
                IllegalStateException.class,
                () -> responseGuard.finish(ResponseGuard.FinalResponse.REJECTED));
        assertTrue(responseGuard.finish(ResponseGuard.FinalResponse.COMPLETED));
    }

    @Test
    void unstartedResponseCannotBeCompleted() {
        assertThrows(
                IllegalStateException.class,
                () -> responseGuard.finish(ResponseGuard.FinalResponse.COMPLETED));
    }

    /**
     * Guards against renaming stored values: the ledgers of all builds since f8721a5 contain these
     * words.
     */
    @Test
    void recordedNamesAreThoseOfEarlierBuilds() {
        assertEquals(
                List.of("streamed", "throttled", "terminated", "gone"),
                Arrays.stream(ResponseGuard.FinalResponse.values())
                        .map(response -> response.recordedName)
                        .toList());
    }
}
