package larchridge;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.Attempt;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Gen;
import larchridge.state.Outcome;
import larchridge.state.Product;
import larchridge.state.Span;
import org.junit.jupiter.api.Test;

/** Repeats at the two moments at which they are judged. */
class RepeatRuleTest {
    private static final double WINDOW_MS = 1000;
    private static final double SENT_MS = 50_000;

    private final Engine engine = new Engine(1);

    private Attempt attempt(Gen gen, double sentMs) {
        Attempt attempt = new Attempt(gen, engine, false, sentMs, 10, 0);
        attempt.open();
        return attempt;
    }

    private Gen cutOnce(Effect effect) {
        Product product = new Product("p", effect, Span.ALL, WINDOW_MS, 1, 0, 1000, 0, 60);
        Gen gen =
                new Gen(
                        "g",
                        product,
                        null,
                        null,
                        null,
                        100,
                        0,
                        10,
                        Double.NaN,
                        false,
                        SENT_MS,
                        SENT_MS + 9000);
        Attempt first = attempt(gen, SENT_MS);
        first.outcome = Outcome.CUT;
        first.close();
        return gen;
    }

    /** Its connection came up so late that engines have forgotten the first attempt by then. */
    @Test
    void repeatDecidedInsideTheWindowIsNotWrittenAfterIt() {
        Gen gen = cutOnce(Effect.DEDUPLICATED);
        assertTrue(RepeatRule.mayDecide(gen, engine, SENT_MS + 790, false));
        Attempt again = attempt(gen, SENT_MS + 790);
        assertTrue(RepeatRule.mayWrite(again, SENT_MS + 800, false));
        assertFalse(RepeatRule.mayWrite(again, SENT_MS + 1040, false));
    }

    /** Between reading the clock and writing a process may be held up for 0.15 s. */
    @Test
    void shortWindowLeavesRoomForAProcessThatIsHeldUp() {
        Gen gen = cutOnce(Effect.DEDUPLICATED);
        assertFalse(RepeatRule.mayWrite(attempt(gen, SENT_MS + 860), SENT_MS + 860, false));
        Product brief = new Product("b", Effect.DEDUPLICATED, Span.ALL, 400, 1, 0, 1000, 0, 60);
        Gen other =
                new Gen(
                        "h",
                        brief,
                        null,
                        null,
                        null,
                        100,
                        0,
                        10,
                        Double.NaN,
                        false,
                        SENT_MS,
                        SENT_MS + 9000);
        Attempt first = attempt(other, SENT_MS);
        first.outcome = Outcome.CUT;
        first.close();
        assertTrue(RepeatRule.mayDecide(other, engine, SENT_MS + 240, false));
        assertFalse(RepeatRule.mayDecide(other, engine, SENT_MS + 260, false));
    }

    @Test
    void whatMayHaveHadAnEffectIsNeverRepeated() {
        Gen gen = cutOnce(Effect.SIDE_EFFECTING);
        assertFalse(RepeatRule.mayDecide(gen, engine, SENT_MS + 1, true));
        assertFalse(RepeatRule.mayWrite(attempt(gen, SENT_MS + 1), SENT_MS + 1, true));
    }

    @Test
    void copiesOfAnIdempotentOneGoOnlyWhereTheyAreAllowed() {
        Gen gen = cutOnce(Effect.IDEMPOTENT);
        attempt(gen, SENT_MS + 1);
        assertTrue(RepeatRule.mayDecide(gen, engine, SENT_MS + 2, true));
        assertFalse(RepeatRule.mayDecide(gen, engine, SENT_MS + 2, false));
    }
}
