package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/**
 * Hedges an idempotent generation whose engine has fallen silent: a read gets a second one beside
 * it, since cancelling one that only takes long would waste it; an answer that waits for its writer
 * moves to another, but only to one with capacity, or it would queue anew.
 *
 * <p>Guards against: an engine that takes work and falls silent would keep it until the client
 * leaves.
 */
final class HedgingPolicy {
    /** Silence over a read that is no sign of anything, beside the time that the read takes. */
    private static final double READ_SILENCE_MARGIN_MS = 400;

    /** The same for an answer that has not started. */
    private static final double WRITE_SILENCE_MARGIN_MS = 700;

    /** An attempt may take so many times what its engine usually takes. */
    private static final double EXPECTED_TIME_FACTOR = 3;

    private final OutlierDetector outliers;
    private final WriterCapacity capacity;
    private final EngineSelection selection;
    private final AttemptDispatcher dispatcher;
    private final RetryPolicy retryPolicy;
    private final boolean hedgingEnabled;

    HedgingPolicy(
            RoutingSettings settings,
            EngineView engineView,
            EngineSelection selection,
            AttemptDispatcher dispatcher,
            RetryPolicy retryPolicy) {
        this.selection = selection;
        this.dispatcher = dispatcher;
        this.retryPolicy = retryPolicy;
        outliers = engineView.outliers();
        capacity = engineView.capacity();
        hedgingEnabled = settings.cancellationAllowed() && settings.hedgingAllowed();
    }

    /** For how long an engine may be silent over a read that is likely to take so long. */
    static double readTimeoutMs(double readMs) {
        return READ_SILENCE_MARGIN_MS + EXPECTED_TIME_FACTOR * readMs;
    }

    /**
     * For how long an engine may be silent over an answer that is likely to start after so long.
     */
    static double writeTimeoutMs(double startMs) {
        return WRITE_SILENCE_MARGIN_MS + EXPECTED_TIME_FACTOR * startMs;
    }

    /** Hedges a generation with attempts in flight if the engine of the newest one is silent. */
    void hedgeIfSilent(Generation generation, double nowMs) {
        if (generation.trafficClass.effect != Effect.IDEMPOTENT
                || !hedgingEnabled
                || !retryPolicy.hasAttemptsLeft(generation)) {
            return;
        }
        Attempt newest = generation.newestAttempt();
        double silentMs = nowMs - Math.max(newest.engine.lastContactMs(), newest.sentMs);
        if (newest.isActive() && silentMs > newest.silenceTimeoutMs()) {
            hedge(generation, newest.engine);
        }
    }

    private void hedge(Generation generation, Engine silent) {
        outliers.eject(silent);
        if (generation.heldRead() == null) {
            Engine reader = selection.readers().select(generation);
            if (reader != null && reader != silent) {
                dispatcher.sendRead(generation, reader);
            }
            return;
        }
        Engine writer = selection.writers().select(generation);
        if (writer != null && writer != silent && capacity.hasCapacity(writer, generation)) {
            dispatcher.cancelAll(generation);
            dispatcher.sendWrite(generation, writer);
        }
    }
}
