package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UsageMeterTest {
    private final UsageMeter meter = new UsageMeter(100, 50);

    @Test
    void onePromptAndTheChunksSentAreBilledTheOtherReadIsWaste() {
        meter.promptRead(110);
        long readTokens = meter.promptRead(110);
        meter.responseStartedFromRead(readTokens, 30);
        for (int i = 0; i < 7; i++) {
            meter.chunkSent();
        }
        assertEquals(110, meter.promptTokens());
        assertEquals(30, meter.cachedTokens());
        assertEquals(7, meter.outputTokens());
        assertEquals(110, meter.wastedTokens());
    }

    @Test
    void completeAnswerCountsAsReportedIfThatIsPlausible() {
        meter.responseStartedAtReadingEngine(100);
        meter.chunkSent();
        meter.chunkSent();
        meter.responseCompleted(5);
        assertEquals(5, meter.outputTokens());
        meter.responseCompleted(-3);
        assertEquals(2, meter.outputTokens());
        meter.responseCompleted(51);
        assertEquals(2, meter.outputTokens());
        meter.responseCompleted(1);
        assertEquals(2, meter.outputTokens());
    }

    @Test
    void implausiblePromptReportsAreReplacedByTheOwnCount() {
        assertEquals(100, meter.plausiblePromptTokens(-1));
        assertEquals(100, meter.plausiblePromptTokens(0));
        assertEquals(100, meter.plausiblePromptTokens(Integer.MAX_VALUE));
        assertEquals(1800, meter.plausiblePromptTokens(1800));
    }

    @Test
    void answerThatNeverStartedBillsNothing() {
        meter.promptRead(110);
        assertEquals(0, meter.billedTokens());
        assertEquals(110, meter.wastedTokens());
    }

    @Test
    void discardedAnswerBillsNothing() {
        meter.responseStartedFromRead(meter.promptRead(110), 0);
        meter.chunkSent();
        meter.responseDiscarded();
        assertEquals(0, meter.billedTokens());
        assertEquals(111, meter.wastedTokens());
    }

    @Test
    void secondStartChangesNothing() {
        meter.responseStartedFromRead(meter.promptRead(110), 10);
        meter.responseStartedFromRead(90, 0);
        assertEquals(110, meter.promptTokens());
    }

    @Test
    void chunksThatWereNotSentAreNotBilled() {
        UsageMeter meter = new UsageMeter(100, 50);
        meter.responseStartedFromRead(meter.promptRead(100), 0);
        meter.chunkSent();
        meter.chunkSent();
        meter.chunksNotSent(1);
        assertEquals(1, meter.outputTokens());
    }
}
