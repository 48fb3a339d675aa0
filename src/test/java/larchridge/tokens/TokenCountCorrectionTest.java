package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TokenCountCorrectionTest {
    private final TokenCountCorrection correction = new TokenCountCorrection();
    private final List<TokenCountCorrection.Finding> findings = new ArrayList<>();

    private void recordReports(int count, int counted, int reported) {
        for (int i = 0; i < count; i++) {
            TokenCountCorrection.Finding finding = correction.recordReport(counted, reported);
            if (finding != TokenCountCorrection.Finding.NONE) {
                findings.add(finding);
            }
        }
    }

    @Test
    void fewReportsAndSmallDifferencesChangeNothing() {
        recordReports(10, 1000, 1500);
        assertEquals(1, correction.factor());
        recordReports(200, 1000, 1010);
        assertEquals(1, correction.factor(), 0.02);
    }

    @Test
    void steadyDifferenceIsCorrectedAndReportedOnce() {
        recordReports(100, 1000, 1080);
        assertEquals(1.08, correction.factor(), 1e-9);
        assertEquals(List.of(TokenCountCorrection.Finding.COUNTS_DIFFER), findings);
    }

    @Test
    void wrongVocabularyIsReportedOnce() {
        recordReports(100, 1000, 1400);
        assertEquals(List.of(TokenCountCorrection.Finding.WRONG_VOCABULARY), findings);
    }

    @Test
    void largeDeviationAroundACorrectMeanIsAWrongVocabulary() {
        for (int i = 0; i < 100; i++) {
            recordReports(1, 1000, i % 2 == 0 ? 700 : 1300);
        }
        assertEquals(List.of(TokenCountCorrection.Finding.WRONG_VOCABULARY), findings);
    }

    @Test
    void factorStaysWithinBoundsForAbsurdReports() {
        recordReports(100, 1000, Integer.MAX_VALUE);
        assertEquals(2, correction.factor(), 1e-9);
        recordReports(400, 1000, 1);
        assertEquals(0.5, correction.factor(), 1e-6);
        recordReports(5, 1000, -3);
        assertEquals(0.5, correction.factor(), 1e-6);
    }
}
