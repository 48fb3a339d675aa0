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
 * Plain policies that the module is compared with in experiments; never in the program's path. Each
 * takes one reader and, when that has read, one writer, waits for nothing, asks for no load, and
 * tries again elsewhere where an effect allows it.
 */
public final class BaselinePolicy implements PolicyEvents {
    /** How an engine is taken from its pool. */
    public enum Kind {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OPEN,
        POWER_OF_TWO,
        PREFIX_HASH
    }

    private static final double EARLY_MS = 30;
    private static final double LOOK_MS = 20;

    private final Kind kind;
    private final PolicyActions host;
    private final Random random;
    private final int maxAttempts;
    private final EngineRegistry fleet = new EngineRegistry();
    private final List<Generation> open = new ArrayList<>();
    private boolean wakeSet;
    private int turn;

    public BaselinePolicy(Kind kind, RoutingSettings settings, PolicyActions host) {
        this.kind = kind;
        this.host = host;
        random = new Random(settings.seed());
        maxAttempts = settings.maxAttempts();
    }

    @Override
    public void requestArrived(Generation generation) {
        open.add(generation);
        advance(generation);
        setWake();
    }

    private void advance(Generation generation) {
        if (generation.readWithHeldState() != null && generation.readWithHeldState().isStateLost()) {
            host.releaseState(generation);
            generation.dropState();
        }
        Engine engine =
                pick(generation, generation.readWithHeldState() == null ? fleet.readers() : fleet.writers());
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
                        host.nowMs(),
                        generation.promptTokens,
                        generation.readWithHeldState() == null ? generation.promptTokens : 0);
        if (read) {
            generation.setStatePossiblyHeld(true);
        }
        attempt.open();
        host.send(attempt);
    }

    private Engine pick(Generation generation, List<Engine> pool) {
        if (pool.isEmpty()) {
            return null;
        }
        return switch (kind) {
            case RANDOM -> pool.get(random.nextInt(pool.size()));
            case ROUND_ROBIN -> pool.get(turn++ % pool.size());
            case LEAST_OPEN ->
                    pool.stream().min(Comparator.comparingInt(e -> e.attempts().size())).get();
            case POWER_OF_TWO -> {
                Engine one = pool.get(random.nextInt(pool.size()));
                Engine other = pool.get(random.nextInt(pool.size()));
                yield one.attempts().size() <= other.attempts().size() ? one : other;
            }
            case PREFIX_HASH -> {
                CachedPrefix text =
                        generation.sharedPrefix != null ? generation.sharedPrefix : generation.sessionPrefix;
                yield generation.readWithHeldState() != null || text == null
                        ? pool.get(random.nextInt(pool.size()))
                        : pool.stream().max(Comparator.comparingLong(text::rendezvousWeight)).get();
            }
        };
    }

    @Override
    public void readCompleted(Attempt attempt, int keptTokens, LoadReport report, boolean over) {
        Generation generation = attempt.generation;
        attempt.close();
        if (over) {
            generation.finish();
        }
        if (generation.isFinished()) {
            host.releaseState(generation);
            return;
        }
        generation.holdState(attempt);
        advance(generation);
    }

    @Override
    public void responseStarted(Attempt attempt) {
        attempt.markRead();
        attempt.generation.startResponse();
        attempt.generation.dropState();
    }

    @Override
    public void attemptEnded(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean over) {
        Generation generation = attempt.generation;
        attempt.recordOutcome(outcome);
        attempt.close();
        if (over) {
            generation.finish();
        }
        if (!generation.isUnanswered() || outcome == AttemptOutcome.NO_STATE) {
            host.releaseState(generation);
            generation.dropState();
        }
        if (!generation.isUnanswered() || generation.attemptsInFlight() > 0) {
            return;
        }
        boolean mayRepeat =
                generation.trafficClass.effect == Effect.IDEMPOTENT
                        || generation.attempts().stream().noneMatch(Attempt::mayHaveRun);
        if (mayRepeat && host.nowMs() < generation.deadlineMs - EARLY_MS) {
            advance(generation);
        } else {
            giveUp(generation);
        }
    }

    private void giveUp(Generation generation) {
        for (Attempt attempt : generation.attempts()) {
            if (attempt.isActive()) {
                attempt.cancel();
                host.cancel(attempt);
            }
        }
        generationAbandoned(generation);
        if (generation.trafficClass.effect == Effect.IDEMPOTENT
                || (generation.trafficClass.effect == Effect.DEDUPLICATED
                        && generation.trafficClass.deduplicationScope == DeduplicationScope.ALL)
                || generation.attempts().stream().noneMatch(Attempt::mayHaveRun)) {
            host.reject(generation, 0);
        } else {
            host.fail(generation);
        }
    }

    @Override
    public void generationAbandoned(Generation generation) {
        generation.finish();
        host.releaseState(generation);
        generation.dropState();
    }

    @Override
    public void loadProbed(Engine engine, boolean answered, LoadReport report) {
        // Nothing is asked.

    }

    @Override
    public void endpointsChanged(List<EndpointUpdate> entries, boolean complete) {
        fleet.apply(entries, complete, host.nowMs());
    }

    @Override
    public void wakeUp() {
        wakeSet = false;
        open.removeIf(
                generation -> !generation.isUnanswered() && generation.attemptsInFlight() == 0);
        for (Generation generation : List.copyOf(open)) {
            if (generation.isUnanswered() && host.nowMs() >= generation.deadlineMs - EARLY_MS) {
                giveUp(generation);
            }
        }
        setWake();
    }

    private void setWake() {
        if (!wakeSet && !open.isEmpty()) {
            wakeSet = true;
            host.wakeAt(host.nowMs() + LOOK_MS);
        }
    }
}
