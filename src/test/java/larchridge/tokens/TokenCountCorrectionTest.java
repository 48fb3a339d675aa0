package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TokenCountCorrectionTest {
    private final TokenCountCorrection drift = new TokenCountCorrection();
    private final List<TokenCountCorrection.Finding> told = new ArrayList<>();

    private void reports(int count, int counted, int reported) {
        for (int i = 0; i < count; i++) {
            TokenCountCorrection.Finding found = drift.reported(counted, reported);
            if (found != TokenCountCorrection.Finding.NONE) {
                told.add(found);
            }
        }
    }

    @Test
    void fewReportsAndSmallDifferencesChangeNothing() {
        reports(10, 1000, 1500);
        assertEquals(1, drift.factor());
        reports(200, 1000, 1010);
        assertEquals(1, drift.factor(), 0.02);
    }

    @Test
    void driftIsCorrectedAndToldOnce() {
        reports(100, 1000, 1080);
        assertEquals(1.08, drift.factor(), 1e-9);
        assertEquals(List.of(TokenCountCorrection.Finding.DRIFTS), told);
    }

    @Test
    void wrongVocabularyIsCalledOutOnce() {
        reports(100, 1000, 1400);
        assertEquals(List.of(TokenCountCorrection.Finding.WRONG_VOCABULARY), told);
    }

    @Test
    void scatterAroundTheRightMeanIsAWrongVocabularyToo() {
        for (int i = 0; i < 100; i++) {
            reports(1, 1000, i % 2 == 0 ? 700 : 1300);
        }
        assertEquals(List.of(TokenCountCorrection.Finding.WRONG_VOCABULARY), told);
    }

    @Test
    void absurdReportsStayWithinBounds() {
        reports(100, 1000, Integer.MAX_VALUE);
        assertEquals(2, drift.factor(), 1e-9);
        reports(400, 1000, 1);
        assertEquals(0.5, drift.factor(), 1e-6);
        reports(5, 1000, -3);
        assertEquals(0.5, drift.factor(), 1e-6);
    }
}
