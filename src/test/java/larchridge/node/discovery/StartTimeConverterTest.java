package larchridge.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Start times of engines when wall clocks step; the node's own clock starts at 1,000,000 ms. */
class StartTimeConverterTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double NOW_MS = 1_000_000;
    private static final double WALL_MS = 1_700_000_000_000.0;

    private double wallMs = WALL_MS;
    private final StartTimeConverter converter = new StartTimeConverter(() -> (long) wallMs);

    @Test
    void startTimeFollowsAnAccurateWallClock() {
        assertEquals(NOW_MS - 3000, converter.toLocalMs("a", WALL_MS - 3000, NOW_MS));
        assertEquals(0, converter.toLocalMs("b", 0, NOW_MS));
    }

    /**
     * Whatever the step of the wall clock, an engine that was not on the list when the agent last
     * responded has started since.
     */
    @ParameterizedTest
    @ValueSource(doubles = {-HOUR_MS, -5000, 5000, HOUR_MS})
    void startTimeOfANewEngineIsNotBeforeTheLastListResponseAfterAClockStep(double stepMs) {
        converter.listResponseReceived(NOW_MS);
        wallMs = WALL_MS + 2000 + stepMs;
        double local = converter.toLocalMs("a", WALL_MS + 1500, NOW_MS + 2000);
        assertEquals(Math.min(NOW_MS + 2000, Math.max(NOW_MS, NOW_MS + 1500 - stepMs)), local);
    }

    @Test
    void startTimeOfAKnownEngineIsUnchangedByAClockStep() {
        double before = converter.toLocalMs("a", WALL_MS - 60_000, NOW_MS);
        converter.listResponseReceived(NOW_MS);
        wallMs = WALL_MS + HOUR_MS;
        assertEquals(before, converter.toLocalMs("a", WALL_MS - 60_000, NOW_MS + 5000));
    }

    @Test
    void startTimeIsNeverInTheFutureUnderAWallClockThatIsBehind() {
        wallMs = WALL_MS - HOUR_MS;
        assertEquals(NOW_MS, converter.toLocalMs("a", WALL_MS - 60_000, NOW_MS));
    }
}
