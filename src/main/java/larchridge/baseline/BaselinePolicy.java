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

    public BaselinePolicy(Kind kind, RoutingSettings terms, PolicyActions host) {
        this.kind = kind;
        this.host = host;
        random = new Random(terms.seed);
        maxAttempts = terms.maxAttempts;
    }

    @Override
    public void arrived(Generation gen) {
        open.add(gen);
        advance(gen);
        setWake();
    }

    private void advance(Generation gen) {
        if (gen.state != null && gen.state.isLost()) {
            host.release(gen);
            gen.state = null;
        }
        Engine engine = pick(gen, gen.state == null ? fleet.readers : fleet.writers);
        if (engine == null || gen.attempts.size() + (gen.state == null ? 2 : 1) > maxAttempts) {
            giveUp(gen);
            return;
        }
        boolean read = engine.role == Role.READER;
        Attempt attempt =
                new Attempt(
                        gen,
                        engine,
                        read,
                        host.now(),
                        gen.promptToks,
                        gen.state == null ? gen.promptToks : 0);
        gen.held |= read;
        attempt.open();
        host.send(attempt);
    }

    private Engine pick(Generation gen, List<Engine> pool) {
        if (pool.isEmpty()) {
            return null;
        }
        return switch (kind) {
            case RANDOM -> pool.get(random.nextInt(pool.size()));
            case ROUND_ROBIN -> pool.get(turn++ % pool.size());
            case LEAST_OPEN ->
                    pool.stream().min(Comparator.comparingInt(e -> e.attempts.size())).get();
            case POWER_OF_TWO -> {
                Engine one = pool.get(random.nextInt(pool.size()));
                Engine other = pool.get(random.nextInt(pool.size()));
                yield one.attempts.size() <= other.attempts.size() ? one : other;
            }
            case PREFIX_HASH -> {
                CachedPrefix text = gen.prefix != null ? gen.prefix : gen.session;
                yield gen.state != null || text == null
                        ? pool.get(random.nextInt(pool.size()))
                        : pool.stream().max(Comparator.comparingLong(text::affinity)).get();
            }
        };
    }

    @Override
    public void readDone(Attempt attempt, int keptToks, LoadReport report, boolean over) {
        Generation gen = attempt.gen;
        attempt.close();
        gen.over |= over;
        if (gen.over) {
            host.release(gen);
            return;
        }
        gen.state = attempt;
        advance(gen);
    }

    @Override
    public void begun(Attempt attempt) {
        attempt.markRead();
        attempt.gen.begun = true;
        attempt.gen.state = null;
    }

    @Override
    public void ended(Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean over) {
        Generation gen = attempt.gen;
        attempt.outcome = outcome;
        attempt.close();
        gen.over |= over;
        if (gen.over || gen.begun || outcome == AttemptOutcome.NO_STATE) {
            host.release(gen);
            gen.state = null;
        }
        if (gen.over || gen.begun || gen.attemptsOut > 0) {
            return;
        }
        boolean mayRepeat =
                gen.product.effect == Effect.IDEMPOTENT
                        || gen.attempts.stream().noneMatch(Attempt::mayHaveRun);
        if (mayRepeat && host.now() < gen.limitMs - EARLY_MS) {
            advance(gen);
        } else {
            giveUp(gen);
        }
    }

    private void giveUp(Generation gen) {
        for (Attempt attempt : gen.attempts) {
            if (attempt.out && !attempt.cancelled) {
                attempt.cancelled = true;
                host.cancel(attempt);
            }
        }
        departed(gen);
        if (gen.product.effect == Effect.IDEMPOTENT
                || gen.product.effect == Effect.DEDUPLICATED
                        && gen.product.span == DeduplicationScope.ALL
                || gen.attempts.stream().noneMatch(Attempt::mayHaveRun)) {
            host.throttle(gen, 0);
        } else {
            host.terminate(gen);
        }
    }

    @Override
    public void departed(Generation gen) {
        gen.over = true;
        host.release(gen);
        gen.state = null;
    }

    @Override
    public void probed(Engine engine, boolean answered, LoadReport report) {
        // Nothing is asked.
        return;
    }

    @Override
    public void listed(List<EndpointUpdate> entries, boolean complete) {
        fleet.take(entries, complete, host.now());
    }

    @Override
    public void woken() {
        wakeSet = false;
        open.removeIf(gen -> (gen.over || gen.begun) && gen.attemptsOut == 0);
        for (Generation gen : List.copyOf(open)) {
            if (!gen.over && !gen.begun && host.now() >= gen.limitMs - EARLY_MS) {
                giveUp(gen);
            }
        }
        setWake();
    }

    private void setWake() {
        if (!wakeSet && !open.isEmpty()) {
            wakeSet = true;
            host.wake(host.now() + LOOK_MS);
        }
    }
}
