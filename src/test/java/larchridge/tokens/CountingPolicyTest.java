package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CountingPolicyTest {
    @ParameterizedTest
    @CsvSource({
        // counting, waiting, guessed tokens, reader's tokens a ms, SLO time
        "0.9, 500, 100, 10, 1000, NOW",
        "20, 0, 50000, 10, 2000, ASIDE",
        "20, 200, 50000, 10, 2000, GUESS",
        "20, 0, 500, 10, 2000, GUESS",
        "90, 0, 400000, 10, 1000, GUESS",
        "90, 0, 400000, 10, 20000, ASIDE",
        "20, 0, 50000, 0, 2000, ASIDE"
    })
    void countsWhereThatTakesLessThanAGuessCosts(
            double countMs,
            double waitMs,
            double tokens,
            double speed,
            double sloMs,
            CountingPolicy.Way way) {
        assertEquals(way, CountingPolicy.of(countMs, waitMs, tokens, speed, sloMs));
    }
}
