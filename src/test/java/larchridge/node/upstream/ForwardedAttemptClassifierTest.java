package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.AttemptOutcome;
import org.junit.jupiter.api.Test;

class ForwardedAttemptClassifierTest {
    private static ForwardedAttemptClassifier written(int status, boolean declined) {
        ForwardedAttemptClassifier classifier = new ForwardedAttemptClassifier();
        classifier.requestWritten();
        if (status > 0) {
            classifier.responseHeadReceived(status, declined);
        }
        return classifier;
    }

    @Test
    void eachStatusHasItsOutcome() {
        assertEquals(AttemptOutcome.FAULT, written(500, false).outcome());
        assertEquals(AttemptOutcome.FULL, written(503, true).outcome());
        assertEquals(AttemptOutcome.FULL, written(504, true).outcome());
        assertEquals(AttemptOutcome.NO_STATE, written(410, true).outcome());
        assertEquals(AttemptOutcome.UNREACHABLE, new ForwardedAttemptClassifier().outcome());
        assertEquals(AttemptOutcome.CUT, written(0, false).outcome());
        assertEquals(AttemptOutcome.CUT, written(200, false).outcome());
        ForwardedAttemptClassifier streamed = written(200, false);
        streamed.streamCompleted();
        assertEquals(AttemptOutcome.STREAMED, streamed.outcome());
    }

    @Test
    void withoutTheEnginesDeclarationNothingProvesThatItNeverRan() {
        for (int status : new int[] {503, 504, 410, 429, 404}) {
            assertFalse(written(status, false).outcome().provesNotRun, "status " + status);
        }
        ForwardedAttemptClassifier malformed = written(503, true);
        malformed.responseMalformed();
        assertFalse(malformed.outcome().provesNotRun);
    }

    @Test
    void cancellingProvesThatItNeverRanOnlyBeforeItWasWritten() {
        ForwardedAttemptClassifier written = written(0, false);
        written.cancelled();
        assertEquals(AttemptOutcome.CANCELLED, written.outcome());
        ForwardedAttemptClassifier late = written(0, false);
        late.deadlineExpired();
        assertEquals(AttemptOutcome.TIMED_OUT, late.outcome());
        ForwardedAttemptClassifier early = new ForwardedAttemptClassifier();
        early.cancelled();
        assertTrue(early.outcome().provesNotRun);
    }

    @Test
    void declinedRequestsAreNotUnprocessable() {
        assertTrue(written(400, false).isRequestUnprocessable());
        assertFalse(written(410, true).isRequestUnprocessable());
        assertFalse(written(503, true).isRequestUnprocessable());
        assertFalse(written(500, false).isRequestUnprocessable());
    }
}
