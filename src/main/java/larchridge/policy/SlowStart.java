package larchridge.policy;

import java.util.List;
import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.EngineRegistry;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.SlidingWindow;

/**
 * Slow start of engines whose process started recently. While an engine warms up, each use of it is
 * decided by a random draw, so that all routers together send it the configured share of the
 * traffic of a warm engine.
 */
final class SlowStart {
    /**
     * Fraction of the allowed attempt rate of a warming engine that is used, since routers keep to
     * the rate only on average: random draws exceed it at times.
     */
    private static final double ALLOWED_RATE_FRACTION = 0.5;

    private final EngineRegistry registry;
    private final Random random;
    private final double slowStartMs;
    private final double effectiveShare;
    private final double createdMs;

    /** Recent reads completed and answers started by warm engines. */
    private final SlidingWindow warmReads = new SlidingWindow(30, 1000);

    private final SlidingWindow warmWrites = new SlidingWindow(30, 1000);

    SlowStart(RoutingSettings settings, EngineRegistry registry, Random random, double nowMs) {
        this.registry = registry;
        this.random = random;
        slowStartMs = settings.slowStartMs();
        effectiveShare =
                settings.slowStartShare() * settings.overloadMultiple() * ALLOWED_RATE_FRACTION;
        createdMs = nowMs;
    }

    /** Whether an engine is still warming up; one with an unknown start time counts as warm. */
    boolean isWarmingUp(Engine engine, double nowMs) {
        return engine.startMs() > 0 && nowMs < engine.startMs() + slowStartMs;
    }

    /** Records a completed read. */
    void recordRead(Engine engine, double nowMs) {
        warmReads.add(nowMs, isWarmingUp(engine, nowMs) ? 0 : 1);
    }

    /** Records the start of an answer. */
    void recordWrite(Engine engine, double nowMs) {
        warmWrites.add(nowMs, isWarmingUp(engine, nowMs) ? 0 : 1);
    }

    /** Whether an engine may be used now: always if warm, else by a random draw. */
    boolean admits(Engine engine, double nowMs) {
        return !isWarmingUp(engine, nowMs) || drawAdmission(engine, nowMs);
    }

    /**
     * Admits an attempt at random, such that all routers together use the intended fraction of the
     * allowed rate, which is derived from the rate of warm peers.
     *
     * <p>Guards against: with many routers, even one attempt per router is too much, and an idle
     * new engine looks best to all of them at once. The probability that a draw admits the attempt
     * is proportional to the time since the previous draw.
     */
    private boolean drawAdmission(Engine engine, double nowMs) {
        boolean isReader = engine.role() == Role.READER;
        List<Engine> peers = isReader ? registry.readers() : registry.writers();
        double warmCapacityWeight =
                peers.stream()
                        .filter(peer -> !isWarmingUp(peer, nowMs))
                        .mapToDouble(peer -> peer.capacityWeight())
                        .sum();
        SlidingWindow warmUses = isReader ? warmReads : warmWrites;
        double spanMs = Math.min(warmUses.spanMs(), nowMs - createdMs + 1);
        double warmRatePerMs =
                warmUses.sum(nowMs)
                        / spanMs
                        / Math.max(warmCapacityWeight, engine.capacityWeight());
        double sinceLastDrawMs = nowMs - Math.max(engine.lastSlowStartDrawMs(), engine.startMs());
        engine.recordSlowStartDraw(nowMs);
        return random.nextDouble()
                < effectiveShare * warmRatePerMs * engine.capacityWeight() * sinceLastDrawMs;
    }
}
