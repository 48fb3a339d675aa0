package larchridge.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import larchridge.state.AttemptOutcome;
import org.junit.jupiter.api.Test;

class CompletionsAttemptClassifierTest {
    private final CompletionsAttemptClassifier classifier = new CompletionsAttemptClassifier();

    private void responseEnded(int status, String code) {
        classifier.writeStarted();
        classifier.responseReceived(status);
        classifier.errorCodeReceived(code);
        classifier.bodyEnded();
    }

    @Test
    void attemptNeverWrittenProvablyDidNotRun() {
        assertEquals(AttemptOutcome.UNREACHABLE, classifier.outcome());
        classifier.cancelled();
        assertEquals(AttemptOutcome.NOT_SENT, classifier.outcome());
    }

    @Test
    void connectionClosedBeforeAnyByteIsCut() {
        classifier.writeStarted();
        assertEquals(AttemptOutcome.CUT, classifier.outcome());
    }

    @Test
    void fullOnlyAfterACompleteRejection() {
        classifier.writeStarted();
        classifier.responseReceived(503);
        assertEquals(AttemptOutcome.CUT, classifier.outcome());
        classifier.bodyEnded();
        assertEquals(AttemptOutcome.FULL, classifier.outcome());
    }

    @Test
    void noStateOnlyByTheEnginesErrorCode() {
        responseEnded(404, "not_found");
        assertEquals(AttemptOutcome.FAULT, classifier.outcome());
        classifier.errorCodeReceived(CompletionsAttemptClassifier.STATE_UNKNOWN);
        assertEquals(AttemptOutcome.NO_STATE, classifier.outcome());
    }

    @Test
    void serverErrorIsAFault() {
        responseEnded(500, null);
        assertEquals(AttemptOutcome.FAULT, classifier.outcome());
    }

    @Test
    void streamThatEndsEarlyIsCutEvenIfItsBodyEnded() {
        responseEnded(200, null);
        assertEquals(AttemptOutcome.CUT, classifier.outcome());
    }

    @Test
    void connectionLostAfterTheLastTokenIsStreamed() {
        classifier.writeStarted();
        classifier.responseReceived(200);
        classifier.answerCompleted();
        assertEquals(AttemptOutcome.STREAMED, classifier.outcome());
    }

    @Test
    void cancelledAfterTheLastTokenIsStreamed() {
        classifier.writeStarted();
        classifier.responseReceived(200);
        classifier.answerCompleted();
        classifier.cancelled();
        assertEquals(AttemptOutcome.STREAMED, classifier.outcome());
    }

    @Test
    void expiredDeadlineIsTimedOut() {
        classifier.writeStarted();
        classifier.deadlineExpired();
        assertEquals(AttemptOutcome.TIMED_OUT, classifier.outcome());
    }

    @Test
    void malformedResponseIsAFault() {
        responseEnded(200, null);
        classifier.responseMalformed();
        assertEquals(AttemptOutcome.FAULT, classifier.outcome());
    }
}
