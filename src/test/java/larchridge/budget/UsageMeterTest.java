package larchridge.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UsageMeterTest {
    private final UsageMeter meter = new UsageMeter(100, 50);

    @Test
    void onePromptAndWhatWasSentAreBilledTheOtherReadIsWaste() {
        meter.read(110);
        long used = meter.read(110);
        meter.begun(used, 30, true);
        for (int i = 0; i < 7; i++) {
            meter.sent();
        }
        assertEquals(110, meter.promptTokens());
        assertEquals(30, meter.keptTokens());
        assertEquals(7, meter.outTokens());
        assertEquals(110, meter.wastedTokens());
    }

    @Test
    void wholeAnswerCountsAsReportedUnlessThatCannotBe() {
        meter.begun(100, 0, false);
        meter.sent();
        meter.sent();
        meter.whole(5);
        assertEquals(5, meter.outTokens());
        meter.whole(-3);
        assertEquals(2, meter.outTokens());
        meter.whole(51);
        assertEquals(2, meter.outTokens());
        meter.whole(1);
        assertEquals(2, meter.outTokens());
    }

    @Test
    void absurdPromptsCountAsCounted() {
        assertEquals(100, meter.believed(-1));
        assertEquals(100, meter.believed(0));
        assertEquals(100, meter.believed(Integer.MAX_VALUE));
        assertEquals(1800, meter.believed(1800));
    }

    @Test
    void answerThatNeverBeganBillsNothing() {
        meter.read(110);
        assertEquals(0, meter.used());
        assertEquals(110, meter.wastedTokens());
    }

    @Test
    void wholeAnswerThatBrokeBillsNothing() {
        meter.begun(meter.read(110), 0, true);
        meter.sent();
        meter.nothingSent();
        assertEquals(0, meter.used());
        assertEquals(111, meter.wastedTokens());
    }

    @Test
    void secondBeginningChangesNothing() {
        meter.begun(meter.read(110), 10, true);
        meter.begun(90, 0, true);
        assertEquals(110, meter.promptTokens());
    }

    @Test
    void piecesThatDidNotGoOutAreNotBilled() {
        UsageMeter meter = new UsageMeter(100, 50);
        meter.begun(meter.read(100), 0, true);
        meter.sent();
        meter.sent();
        meter.notSent(1);
        assertEquals(1, meter.outTokens());
    }
}
