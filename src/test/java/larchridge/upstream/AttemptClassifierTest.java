package larchridge.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import larchridge.state.AttemptOutcome;
import org.junit.jupiter.api.Test;

class AttemptClassifierTest {
    private final AttemptClassifier verdict = new AttemptClassifier();

    private void answered(int status, String code) {
        verdict.written();
        verdict.answered(status);
        verdict.errorCode(code);
        verdict.clean();
    }

    @Test
    void neverWrittenIsProofOfNoRun() {
        assertEquals(AttemptOutcome.UNREACHABLE, verdict.outcome());
        verdict.called(false);
        assertEquals(AttemptOutcome.NOT_SENT, verdict.outcome());
    }

    @Test
    void closedBeforeAnyByteMayHaveRun() {
        verdict.written();
        assertEquals(AttemptOutcome.CUT, verdict.outcome());
    }

    @Test
    void fullOnlyWhereTheWholeRefusalCame() {
        verdict.written();
        verdict.answered(503);
        assertEquals(AttemptOutcome.CUT, verdict.outcome());
        verdict.clean();
        assertEquals(AttemptOutcome.FULL, verdict.outcome());
    }

    @Test
    void stateUnknownOnlyInTheEnginesOwnWord() {
        answered(404, "not_found");
        assertEquals(AttemptOutcome.FAULT, verdict.outcome());
        verdict.errorCode(AttemptClassifier.STATE_UNKNOWN);
        assertEquals(AttemptOutcome.NO_STATE, verdict.outcome());
    }

    @Test
    void serverErrorMayHaveRun() {
        answered(500, null);
        assertEquals(AttemptOutcome.FAULT, verdict.outcome());
    }

    @Test
    void streamThatEndsEarlyIsCutAlsoIfCleanly() {
        answered(200, null);
        assertEquals(AttemptOutcome.CUT, verdict.outcome());
    }

    @Test
    void brokenAfterTheLastTokenIsWhole() {
        verdict.written();
        verdict.answered(200);
        verdict.finished();
        assertEquals(AttemptOutcome.STREAMED, verdict.outcome());
    }

    @Test
    void calledOffAfterTheLastTokenIsWhole() {
        verdict.written();
        verdict.answered(200);
        verdict.finished();
        verdict.called(false);
        assertEquals(AttemptOutcome.STREAMED, verdict.outcome());
    }

    @Test
    void timeUpAndCalledOffMayHaveRun() {
        verdict.written();
        verdict.called(true);
        assertEquals(AttemptOutcome.TIMED_OUT, verdict.outcome());
    }

    @Test
    void garbageMayHaveRun() {
        answered(200, null);
        verdict.garbled();
        assertEquals(AttemptOutcome.FAULT, verdict.outcome());
    }
}
