package larchridge.policy;

import java.util.ArrayList;
import java.util.List;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/** Which engines of a pool may get an attempt of a generation now. */
final class EligibleEngines {
    private final PolicyActions actions;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final boolean hedgingAllowed;

    EligibleEngines(
            RoutingSettings settings,
            PolicyActions actions,
            OutlierDetector outliers,
            SlowStart slowStart) {
        this.actions = actions;
        this.outliers = outliers;
        this.slowStart = slowStart;
        hedgingAllowed = settings.hedgingAllowed();
    }

    /** The eligible engines, in the pool's order, as a list of the caller's own. */
    List<Engine> of(List<Engine> pool, Generation generation) {
        double nowMs = actions.nowMs();
        List<Engine> eligible = new ArrayList<>(pool.size());
        // All ejected counts as none ejected: doubt must never empty a pool.
        boolean anyHealthy = pool.stream().anyMatch(engine -> outliers.isHealthy(engine, nowMs));
        for (Engine engine : pool) {
            if ((!anyHealthy || outliers.isHealthy(engine, nowMs))
                    && IdempotencyRule.mayAttempt(generation, engine, nowMs, hedgingAllowed)
                    && slowStart.admits(engine, nowMs)) {
                eligible.add(engine);
            }
        }
        return eligible;
    }
}
