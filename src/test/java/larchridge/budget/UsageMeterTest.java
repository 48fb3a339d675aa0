package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UsageMeterTest {
    private final UsageMeter meter = new UsageMeter(100, 50);

    @Test
    void onePromptAndWhatWasSentAreBilledTheOtherReadIsWaste() {
        meter.promptRead(110);
        long used = meter.promptRead(110);
        meter.responseStarted(used, 30, true);
        for (int i = 0; i < 7; i++) {
            meter.pieceSent();
        }
        assertEquals(110, meter.promptTokens());
        assertEquals(30, meter.cachedTokens());
        assertEquals(7, meter.outputTokens());
        assertEquals(110, meter.wastedTokens());
    }

    @Test
    void wholeAnswerCountsAsReportedUnlessThatCannotBe() {
        meter.responseStarted(100, 0, false);
        meter.pieceSent();
        meter.pieceSent();
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
    void absurdPromptsCountAsCounted() {
        assertEquals(100, meter.plausiblePromptTokens(-1));
        assertEquals(100, meter.plausiblePromptTokens(0));
        assertEquals(100, meter.plausiblePromptTokens(Integer.MAX_VALUE));
        assertEquals(1800, meter.plausiblePromptTokens(1800));
    }

    @Test
    void answerThatNeverBeganBillsNothing() {
        meter.promptRead(110);
        assertEquals(0, meter.billedTokens());
        assertEquals(110, meter.wastedTokens());
    }

    @Test
    void wholeAnswerThatBrokeBillsNothing() {
        meter.responseStarted(meter.promptRead(110), 0, true);
        meter.pieceSent();
        meter.responseDiscarded();
        assertEquals(0, meter.billedTokens());
        assertEquals(111, meter.wastedTokens());
    }

    @Test
    void secondBeginningChangesNothing() {
        meter.responseStarted(meter.promptRead(110), 10, true);
        meter.responseStarted(90, 0, true);
        assertEquals(110, meter.promptTokens());
    }

    @Test
    void piecesThatDidNotGoOutAreNotBilled() {
        UsageMeter meter = new UsageMeter(100, 50);
        meter.responseStarted(meter.promptRead(100), 0, true);
        meter.pieceSent();
        meter.pieceSent();
        meter.piecesNotSent(1);
        assertEquals(1, meter.outputTokens());
    }
}
