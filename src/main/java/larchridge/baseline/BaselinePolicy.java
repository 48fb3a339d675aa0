package larchridge.baseline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import larchridge.policy.PolicyActions;
import larchridge.policy.PolicyEvents;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.CachedPrefix;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.EngineRegistry;
import larchridge.state.Generation;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;

/**
 * Simple routing policies with which experiments compare the routing policy; never used by a
 * running service. Each sends the prompt to one reader and, when it was read, the state to one
 * writer. They never wait for capacity or probe load, and choose an engine again after a failure if
 * the effect of the traffic class allows another attempt.
 */
public final class BaselinePolicy implements PolicyEvents {
    /** How an engine is chosen from the readers or writers. */
    public enum Kind {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OPEN,
        POWER_OF_TWO,
        PREFIX_HASH
    }

    /** How long before its deadline a generation is given up. */
    private static final double DEADLINE_MARGIN_MS = 30;

    private static final double DEADLINE_CHECK_INTERVAL_MS = 20;

    private final Kind kind;
    private final PolicyActions actions;
    private final Random random;
    private final int maxAttempts;
    private final EngineRegistry engines = new EngineRegistry();
    private final List<Generation> openGenerations = new ArrayList<>();
    private boolean wakeUpScheduled;
    private int nextIndex;

    /** Creates the policy of one router. */
    public BaselinePolicy(Kind kind, RoutingSettings settings, PolicyActions actions) {
        this.kind = kind;
        this.actions = actions;
        random = new Random(settings.seed());
        maxAttempts = settings.maxAttempts();
    }

    @Override
    public void requestArrived(Generation generation) {
        openGenerations.add(generation);
        sendNextAttempt(generation);
        scheduleWakeUp();
    }

    private void sendNextAttempt(Generation generation) {
        if (generation.readWithHeldState() != null
                && generation.readWithHeldState().isStateLost()) {
            actions.releaseState(generation);
            generation.dropState();
        }
        Engine engine =
                chooseEngine(
                        generation,
                        generation.readWithHeldState() == null
                                ? engines.readers()
                                : engines.writers());
        if (engine == null
                || generation.attempts().size() + (generation.readWithHeldState() == null ? 2 : 1)
                        > maxAttempts) {
            giveUp(generation);
            return;
        }
        boolean read = engine.role() == Role.READER;
        Attempt attempt =
                new Attempt(
                        generation,
                        engine,
                        read,
                        actions.nowMs(),
                        generation.promptTokens,
                        generation.readWithHeldState() == null ? generation.promptTokens : 0);
        if (read) {
            generation.setStatePossiblyHeld(true);
        }
        attempt.open();
        actions.send(attempt);
    }

    private Engine chooseEngine(Generation generation, List<Engine> pool) {
        if (pool.isEmpty()) {
            return null;
        }
        return switch (kind) {
            case RANDOM -> pool.get(random.nextInt(pool.size()));
            case ROUND_ROBIN -> pool.get(nextIndex++ % pool.size());
            case LEAST_OPEN ->
                    pool.stream().min(Comparator.comparingInt(e -> e.attempts().size())).get();
            case POWER_OF_TWO -> {
                Engine first = pool.get(random.nextInt(pool.size()));
                Engine second = pool.get(random.nextInt(pool.size()));
                yield first.attempts().size() <= second.attempts().size() ? first : second;
            }
            case PREFIX_HASH -> {
                CachedPrefix prefix =
                        generation.sharedPrefix != null
                                ? generation.sharedPrefix
                                : generation.sessionPrefix;
                yield generation.readWithHeldState() != null || prefix == null
                        ? pool.get(random.nextInt(pool.size()))
                        : pool.stream()
                                .max(Comparator.comparingLong(prefix::rendezvousWeight))
                                .get();
            }
        };
    }

    @Override
    public void readCompleted(
            Attempt attempt, int cachedTokens, LoadReport report, boolean finished) {
        Generation generation = attempt.generation;
        attempt.close();
        if (finished) {
            generation.finish();
        }
        if (generation.isFinished()) {
            actions.releaseState(generation);
            return;
        }
        generation.holdState(attempt);
        sendNextAttempt(generation);
    }

    @Override
    public void responseStarted(Attempt attempt) {
        attempt.markRead();
        attempt.generation.startResponse();
        attempt.generation.dropState();
    }

    @Override
    public void attemptEnded(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean finished) {
        Generation generation = attempt.generation;
        attempt.recordOutcome(outcome);
        attempt.close();
        if (finished) {
            generation.finish();
        }
        if (!generation.isUnanswered() || outcome == AttemptOutcome.NO_STATE) {
            actions.releaseState(generation);
            generation.dropState();
        }
        if (!generation.isUnanswered() || generation.attemptsInFlight() > 0) {
            return;
        }
        boolean mayRepeat =
                generation.trafficClass.effect == Effect.IDEMPOTENT
                        || generation.attempts().stream().noneMatch(Attempt::mayHaveRun);
        if (mayRepeat && actions.nowMs() < generation.deadlineMs - DEADLINE_MARGIN_MS) {
            sendNextAttempt(generation);
        } else {
            giveUp(generation);
        }
    }

    private void giveUp(Generation generation) {
        for (Attempt attempt : generation.attempts()) {
            if (attempt.isActive()) {
                attempt.cancel();
                actions.cancel(attempt);
            }
        }
        generationAbandoned(generation);
        if (generation.trafficClass.effect == Effect.IDEMPOTENT
                || (generation.trafficClass.effect == Effect.DEDUPLICATED
                        && generation.trafficClass.deduplicationScope == DeduplicationScope.ALL)
                || generation.attempts().stream().noneMatch(Attempt::mayHaveRun)) {
            actions.reject(generation, 0);
        } else {
            actions.fail(generation);
        }
    }

    @Override
    public void generationAbandoned(Generation generation) {
        generation.finish();
        actions.releaseState(generation);
        generation.dropState();
    }

    @Override
    public void loadProbed(Engine engine, boolean answered, LoadReport report) {
        // Baselines never probe.

    }

    @Override
    public void endpointsChanged(List<EndpointUpdate> entries, boolean complete) {
        engines.apply(entries, complete, actions.nowMs());
    }

    @Override
    public void wakeUp() {
        wakeUpScheduled = false;
        openGenerations.removeIf(
                generation -> !generation.isUnanswered() && generation.attemptsInFlight() == 0);
        for (Generation generation : List.copyOf(openGenerations)) {
            if (generation.isUnanswered()
                    && actions.nowMs() >= generation.deadlineMs - DEADLINE_MARGIN_MS) {
                giveUp(generation);
            }
        }
        scheduleWakeUp();
    }

    private void scheduleWakeUp() {
        if (!wakeUpScheduled && !openGenerations.isEmpty()) {
            wakeUpScheduled = true;
            actions.wakeAt(actions.nowMs() + DEADLINE_CHECK_INTERVAL_MS);
        }
    }
}
