package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/**
 * Hedges an idempotent generation whose engine has stopped responding. A read gets a second,
 * concurrent attempt, since cancelling a read that is merely slow would waste its work. An answer
 * that has not started moves to another writer, but only to one with capacity, since it would have
 * to queue again otherwise.
 *
 * <p>Guards against: an engine that accepts work and stops responding would keep the generation
 * until the client disconnects.
 */
final class HedgingPolicy {
    /**
     * Tolerated silence during a read, in addition to {@link #EXPECTED_TIME_FACTOR} times its
     * expected duration.
     */
    private static final double READ_SILENCE_MARGIN_MS = 400;

    /**
     * Tolerated silence before an answer, in addition to {@link #EXPECTED_TIME_FACTOR} times the
     * expected time to its start.
     */
    private static final double WRITE_SILENCE_MARGIN_MS = 700;

    /** Multiple of the expected duration that is tolerated as silence, plus a margin. */
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

    /** How long an engine may be silent during a read of the given expected duration. */
    static double readTimeoutMs(double readMs) {
        return READ_SILENCE_MARGIN_MS + EXPECTED_TIME_FACTOR * readMs;
    }

    /** How long an engine may be silent before an answer with the given expected start delay. */
    static double writeTimeoutMs(double startDelayMs) {
        return WRITE_SILENCE_MARGIN_MS + EXPECTED_TIME_FACTOR * startDelayMs;
    }

    /** Hedges a generation in flight if the engine of its newest attempt is silent for too long. */
    void hedgeIfSilent(Generation generation, double nowMs) {
        if (generation.trafficClass.effect != Effect.IDEMPOTENT
                || !hedgingEnabled
                || !retryPolicy.hasAttemptsLeft(generation)) {
            return;
        }
        Attempt newest = generation.newestAttempt();
        double silentMs = nowMs - Math.max(newest.engine.lastResponseMs(), newest.sentMs);
        if (newest.isActive() && silentMs > newest.silenceTimeoutMs()) {
            hedge(generation, newest.engine);
        }
    }

    private void hedge(Generation generation, Engine silentEngine) {
        outliers.eject(silentEngine);
        if (generation.readWithHeldState() == null) {
            Engine reader = selection.readerSelection().select(generation);
            if (reader != null && reader != silentEngine) {
                dispatcher.sendRead(generation, reader);
            }
            return;
        }
        Engine writer = selection.writerSelection().select(generation);
        if (writer != null && writer != silentEngine && capacity.hasCapacity(writer, generation)) {
            dispatcher.cancelAll(generation);
            dispatcher.sendWrite(generation, writer);
        }
    }
}
