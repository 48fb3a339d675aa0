package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Decides whether one more attempt of a generation could repeat an effect, or run concurrently with
 * another where that is not allowed: a request takes effect at most once. Checked when the policy
 * selects the engine, and again just before the request is sent, since the connection may be
 * established long after the selection while the deduplication window of the engines keeps running.
 */
public final class IdempotencyRule {
    /** Fraction of the deduplication window within which an engine is selected for a repeat. */
    private static final double SELECTION_WINDOW_FRACTION = 0.8;

    /** Allowance for a process pause between reading the clock and sending the request. */
    private static final double PROCESS_PAUSE_MARGIN_MS = 150;

    private IdempotencyRule() {}

    /** Whether an engine may be selected now for one more attempt of a generation. */
    static boolean mayAttempt(
            Generation generation, Engine engine, double nowMs, boolean hedgingAllowed) {
        double maxAgeByFractionMs =
                SELECTION_WINDOW_FRACTION * generation.trafficClass.deduplicationWindowMs;
        double maxAgeMs =
                Math.min(
                        maxAgeByFractionMs,
                        generation.trafficClass.deduplicationWindowMs - PROCESS_PAUSE_MARGIN_MS);
        return mayRun(generation, engine, null, nowMs - maxAgeMs, hedgingAllowed);
    }

    /** Whether an attempt whose engine was selected earlier may be sent now. */
    public static boolean maySend(Attempt attempt, double nowMs, boolean hedgingAllowed) {
        double maxAgeMs =
                attempt.generation.trafficClass.deduplicationWindowMs - PROCESS_PAUSE_MARGIN_MS;
        return mayRun(
                attempt.generation, attempt.engine, attempt, nowMs - maxAgeMs, hedgingAllowed);
    }

    /**
     * Whether the generation may run on an engine, given its other attempts; the attempt is null if
     * it does not exist yet.
     */
    private static boolean mayRun(
            Generation generation,
            Engine engine,
            Attempt attempt,
            double oldestSentMs,
            boolean hedgingAllowed) {
        Effect effect = generation.trafficClass.effect;
        if (effect == Effect.IDEMPOTENT && hedgingAllowed) {
            return true;
        }
        int otherAttemptsInFlight =
                generation.attemptsInFlight() - (attempt != null && attempt.isInFlight() ? 1 : 0);
        if (otherAttemptsInFlight > 0) {
            return false;
        }
        if (effect == Effect.IDEMPOTENT) {
            return true;
        }
        for (Attempt earlier : generation.attempts()) {
            if (earlier != attempt
                    && earlier.mayHaveRun()
                    && (effect == Effect.SIDE_EFFECTING
                            || earlier.sentMs < oldestSentMs
                            || !dropsRepeats(
                                    generation.trafficClass.deduplicationScope,
                                    earlier.engine,
                                    engine))) {
                return false;
            }
        }
        return true;
    }

    /** Whether one engine drops repeats of what the other has run. */
    private static boolean dropsRepeats(DeduplicationScope scope, Engine first, Engine second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone().equals(second.zone());
            case RACK -> first.rack() == second.rack();
        };
    }
}
