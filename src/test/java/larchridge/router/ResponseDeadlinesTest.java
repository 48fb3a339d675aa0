package larchridge.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.site.ProductOffering;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.TrafficClass;
import org.junit.jupiter.api.Test;

class ResponseDeadlinesTest {
    private final TrafficClass product =
            new TrafficClass("p", Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, 1, 0, 1000, 0, 50);
    private final ProductOffering offering =
            new ProductOffering(
                    product,
                    product,
                    "",
                    5000,
                    1,
                    100,
                    larchridge.tokens.PromptLengthSettings.ESTIMATED);

    @Test
    void streamingResponseHasOnlyTheProductsFirstTokenDeadline() {
        ResponseDeadlines deadlines =
                ResponseDeadlines.of(offering, 200, 100, false, Double.POSITIVE_INFINITY);
        assertEquals(5200, deadlines.firstTokenMs);
        assertTrue(Double.isInfinite(deadlines.completionMs));
    }

    @Test
    void firstTokenIsDueBeforeAShorterClientTimeout() {
        assertTrue(ResponseDeadlines.of(offering, 200, 100, false, 900).firstTokenMs < 900);
    }

    @Test
    void nonStreamingResponseIsDueBeforeTheClientTimeout() {
        ResponseDeadlines deadlines = ResponseDeadlines.of(offering, 0, 100, true, 3000);
        assertTrue(deadlines.completionMs < 3000);
        assertTrue(deadlines.firstTokenMs <= deadlines.completionMs);
    }

    @Test
    void deadlineIsNeverNegative() {
        assertEquals(0, ResponseDeadlines.of(offering, 0, 100, true, 0).completionMs);
    }
}
