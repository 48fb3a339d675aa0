package larchridge.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.GiveUpReason;
import larchridge.state.LoadReport;
import larchridge.state.RoutingSettings;

/**
 * Makes the routing decisions of one router: which reader reads a prompt, which writer writes the
 * answer, and what happens when either fails. One instance belongs to one router and runs on its
 * event loop; each event is one call, and the policy acts by calling {@link PolicyActions}.
 *
 * <p>{@link #advance} is the normal path of a generation; each decision on it is made by a class of
 * its own. The state of generations and engines is in {@code larchridge.state}. Times are in
 * milliseconds.
 */
public final class RoutingPolicy implements PolicyEvents {
    /** Interval at which generations are checked for deadlines, backoffs and silent engines. */
    private static final double SWEEP_INTERVAL_MS = 20;

    private final PolicyActions actions;
    private final Random random;
    private final EngineView engineView;
    private final EngineFeedback feedback;
    private final EngineSelection selection;
    private final LoadProbes probes;
    private final AttemptDispatcher dispatcher;
    private final HeldStates heldStates;
    private final RetryPolicy retryPolicy;
    private final HedgingPolicy hedging;
    private final AdmissionQueue queue;
    private final EndpointWatch endpointWatch;

    /**
     * Generations that are not finished or still have attempts in flight, in order of arrival;
     * others are removed at the next sweep.
     */
    private final List<Generation> openGenerations = new ArrayList<>();

    private boolean wakeUpScheduled;

    /** Creates a policy without engines; its random draws are determined by the settings' seed. */
    public RoutingPolicy(RoutingSettings settings, PolicyActions actions) {
        this.actions = actions;
        random = new Random(settings.seed());
        engineView = EngineView.create(settings, actions, random);
        feedback = new EngineFeedback(actions, engineView);
        selection =
                new EngineSelection(
                        new ReaderSelection(settings, actions, engineView),
                        new WriterSelection(actions, engineView, random));
        probes = new LoadProbes(settings, actions, engineView, random);
        dispatcher = new AttemptDispatcher(settings, actions, engineView, probes);
        heldStates = new HeldStates(actions);
        retryPolicy = new RetryPolicy(settings, actions, random);
        hedging = new HedgingPolicy(settings, engineView, selection, dispatcher, retryPolicy);
        queue =
                new AdmissionQueue(
                        actions,
                        engineView.latency(),
                        openGenerations,
                        this::advance,
                        generation -> giveUp(generation, GiveUpReason.TOO_LATE));
        endpointWatch = new EndpointWatch(actions, random);
        if (settings.endpointSubscriptionRequired()) {
            endpointWatch.start();
        }
    }

    // ------------------------------------------------------------------ events of generations

    @Override
    public void requestArrived(Generation generation) {
        openGenerations.add(generation);
        generation.setRandomFraction(random.nextDouble());
        advance(generation);
        scheduleWakeUp();
    }

    @Override
    public void readCompleted(
            Attempt attempt, int cachedTokens, LoadReport report, boolean finished) {
        Generation generation = attempt.generation;
        feedback.recordRead(attempt, cachedTokens, report);
        dispatcher.close(attempt);
        if (finished) {
            generation.finish();
        }
        heldStates.recordHeld(attempt);
        if (!generation.isUnanswered()) {
            // Guards against: a read that completes after its generation has been answered would
            // leave its state held.
            heldStates.release(generation);
        } else if (!generation.isAtWriter() || generation.isStateReleased()) {
            generation.clearStateReleased();
            dispatcher.cancelOthers(generation, attempt);
            advance(generation);
        }
        queue.admitWaiting();
    }

    @Override
    public void responseStarted(Attempt attempt) {
        Generation generation = attempt.generation;
        feedback.recordFirstToken(attempt);
        attempt.markRead();
        generation.startResponse();
        heldStates.recordFetched(generation);
        dispatcher.cancelOthers(generation, attempt);
    }

    @Override
    public void attemptEnded(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean finished) {
        Generation generation = attempt.generation;
        attempt.recordOutcome(outcome);
        dispatcher.close(attempt);
        if (finished) {
            generation.finish();
        }
        feedback.recordOutcome(attempt, outcome, report);
        if (outcome == AttemptOutcome.NOT_SENT) {
            retryPolicy.backOff(generation);
        }
        if (!generation.isUnanswered() || outcome == AttemptOutcome.NO_STATE) {
            heldStates.release(generation);
        }
        if (generation.isUnanswered()
                && !generation.isWaiting()
                && generation.attemptsInFlight() == 0
                && retryPolicy.isDue(generation, actions.nowMs())) {
            advance(generation);
        }
        queue.admitWaiting();
    }

    /**
     * The router released the state that an attempt is to fetch, since its hold time was about to
     * expire and the engine had not responded. An attempt already queued at its engine can still
     * use the state; a new attempt could not fetch it.
     */
    @Override
    public void stateReleased(Attempt attempt) {
        heldStates.recordReleasedBeforeFetch(attempt);
    }

    @Override
    public void generationAbandoned(Generation generation) {
        generation.finish();
        generation.stopWaiting();
        heldStates.release(generation);
    }

    // ------------------------------------------------------------------ events of engines and time

    @Override
    public void loadProbed(Engine engine, boolean answered, LoadReport report) {
        feedback.recordProbe(engine, answered, report);
        queue.admitWaiting();
    }

    @Override
    public void endpointsChanged(List<EndpointUpdate> entries, boolean complete) {
        engineView.registry().apply(entries, complete, actions.nowMs());
        queue.admitWaiting();
    }

    /** The endpoint list could not be fetched; the policy subscribes again after a delay. */
    public void endpointWatchFailed() {
        endpointWatch.scheduleRetry();
        scheduleWakeUp();
    }

    @Override
    public void wakeUp() {
        wakeUpScheduled = false;
        double nowMs = actions.nowMs();
        endpointWatch.retryIfDue(nowMs);
        openGenerations.removeIf(
                generation -> generation.isFinished() && generation.attemptsInFlight() == 0);
        try {
            for (int i = 0; i < openGenerations.size(); i++) {
                sweep(openGenerations.get(i), nowMs);
            }
            queue.admitWaiting();
        } finally {
            // Guards against: an exception in one generation would end the sweeps of all others.
            scheduleWakeUp();
        }
    }

    /**
     * Checks deadline, backoff, silent engine and overdue transfer of a generation whose answer has
     * not started.
     */
    private void sweep(Generation generation, double nowMs) {
        if (!generation.isUnanswered()) {
            return;
        }
        StateTransfers.recordIfOverdue(generation, nowMs);
        if (retryPolicy.isDeadlineNear(generation, nowMs)) {
            giveUp(generation, GiveUpReason.TIME_UP);
        } else if (generation.attemptsInFlight() > 0) {
            hedging.hedgeIfSilent(generation, nowMs);
        } else if (!generation.isWaiting() && retryPolicy.isDue(generation, nowMs)) {
            advance(generation);
        }
    }

    private void scheduleWakeUp() {
        if (!wakeUpScheduled && (!openGenerations.isEmpty() || endpointWatch.isRetryScheduled())) {
            wakeUpScheduled = true;
            actions.wakeAt(actions.nowMs() + SWEEP_INTERVAL_MS);
        }
    }

    // ------------------------------------------------------------------ the normal path

    /**
     * Advances a generation one step: sends it to a reader or a writer, makes it wait, or gives it
     * up.
     */
    private void advance(Generation generation) {
        // Guards against: a generation that is advanced while it waits, for example by the
        // completion of a cancelled read, and stays marked as waiting would be sent to a writer
        // twice; the second send would lose its state.
        generation.stopWaiting();
        if (retryPolicy.isDeadlineNear(generation, actions.nowMs())) {
            giveUp(generation, GiveUpReason.TIME_UP);
            return;
        }
        if (generation.readWithHeldState() != null
                && generation.readWithHeldState().isStateLost()) {
            heldStates.release(generation);
        }
        if (!retryPolicy.hasAttemptsLeft(generation)) {
            giveUp(generation, GiveUpReason.ATTEMPTS_USED);
        } else if (generation.readWithHeldState() == null) {
            readOrWait(generation);
        } else {
            writeOrGiveUp(generation);
        }
    }

    private void readOrWait(Generation generation) {
        Engine reader =
                probes.awaitReaderReports(generation)
                        ? null
                        : selection.readerSelection().select(generation);
        if (reader != null) {
            dispatcher.sendRead(generation, reader);
            return;
        }
        generation.startWaiting(engineView.affinity().minTokensToRead(generation));
    }

    private void writeOrGiveUp(Generation generation) {
        Engine writer = selection.writerSelection().select(generation);
        if (writer != null) {
            dispatcher.sendWrite(generation, writer);
        } else {
            giveUp(generation, GiveUpReason.NO_WRITER);
        }
    }

    private void giveUp(Generation generation, GiveUpReason reason) {
        generation.recordGiveUp(reason);
        dispatcher.cancelAll(generation);
        generationAbandoned(generation);
        retryPolicy.rejectOrFail(generation);
    }
}
