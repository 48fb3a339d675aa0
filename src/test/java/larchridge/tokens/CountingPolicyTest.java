package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CountingPolicyTest {
    @ParameterizedTest
    @CsvSource({
        // counting ms, queue wait ms, estimated tokens, reader's tokens per ms, SLO ms, mode
        "0.9, 500, 100, 10, 1000, INLINE",
        "20, 0, 50000, 10, 2000, WORKER",
        "20, 200, 50000, 10, 2000, ESTIMATE",
        "20, 0, 500, 10, 2000, ESTIMATE",
        "90, 0, 400000, 10, 1000, ESTIMATE",
        "90, 0, 400000, 10, 20000, WORKER",
        "20, 0, 50000, 0, 2000, WORKER"
    })
    void countsOnlyIfThatTakesLessThanTheEstimateErrorCosts(
            double countMs,
            double queueWaitMs,
            double estimatedTokens,
            double readTokensPerMs,
            double sloMs,
            CountingPolicy.Mode expected) {
        assertEquals(
                expected,
                CountingPolicy.choose(
                        countMs, queueWaitMs, estimatedTokens, readTokensPerMs, sloMs));
    }
}
