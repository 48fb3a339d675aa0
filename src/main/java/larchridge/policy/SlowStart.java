package larchridge.policy;

import java.util.List;
import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.EngineRegistry;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.SlidingWindow;

/**
 * Slow start of engines whose process began a short while ago: while one warms up, each use of it
 * is a chance draw, so that all routers together send it a stated share of what warm engines get.
 */
final class SlowStart {
    /**
     * The part of a warming engine's budget that is used, since all routers only meet it on
     * average.
     */
    private static final double BUDGET_FRACTION = 0.5;

    private final EngineRegistry registry;
    private final Random random;
    private final double slowStartMs;
    private final double effectiveShare;
    private final double createdMs;

    /** Attempts that warm readers and writers have completed of late. */
    private final SlidingWindow warmReads = new SlidingWindow(30, 1000);

    private final SlidingWindow warmWrites = new SlidingWindow(30, 1000);

    SlowStart(RoutingSettings settings, EngineRegistry registry, Random random, double nowMs) {
        this.registry = registry;
        this.random = random;
        slowStartMs = settings.slowStartMs();
        effectiveShare = settings.slowStartShare() * settings.overloadMultiple() * BUDGET_FRACTION;
        createdMs = nowMs;
    }

    /** Whether an engine is still warming up; one whose start is unknown counts as warm. */
    boolean isWarmingUp(Engine engine, double nowMs) {
        return engine.startMs() > 0 && nowMs < engine.startMs() + slowStartMs;
    }

    /** Counts a completed read. */
    void recordRead(Engine engine, double nowMs) {
        warmReads.add(nowMs, isWarmingUp(engine, nowMs) ? 0 : 1);
    }

    /** Counts an answer that has started. */
    void recordWrite(Engine engine, double nowMs) {
        warmWrites.add(nowMs, isWarmingUp(engine, nowMs) ? 0 : 1);
    }

    /** Whether an engine may be used now: always when warm, else by a draw. */
    boolean admits(Engine engine, double nowMs) {
        return !isWarmingUp(engine, nowMs) || drawAdmission(engine, nowMs);
    }

    /**
     * A draw whose mean over all routers is the part of the budget that a warming engine may get,
     * by what warm peers take.
     *
     * <p>Guards against: one attempt a router is too much where there are many routers, and an idle
     * new engine looks best to all of them at once; no draw is worth more than the time since the
     * last one.
     */
    private boolean drawAdmission(Engine engine, double nowMs) {
        boolean isReader = engine.role() == Role.READER;
        List<Engine> peers = isReader ? registry.readers() : registry.writers();
        double warmUnits =
                peers.stream()
                        .filter(peer -> !isWarmingUp(peer, nowMs))
                        .mapToDouble(peer -> peer.units())
                        .sum();
        SlidingWindow completed = isReader ? warmReads : warmWrites;
        double spanMs = Math.min(completed.spanMs(), nowMs - createdMs + 1);
        double warmRatePerMs = completed.sum(nowMs) / spanMs / Math.max(warmUnits, engine.units());
        double sinceLastDrawMs = nowMs - Math.max(engine.lastSlowStartDrawMs(), engine.startMs());
        engine.recordSlowStartDraw(nowMs);
        return random.nextDouble() < effectiveShare * warmRatePerMs * engine.units() * sinceLastDrawMs;
    }
}
