package larchridge.policy;

import java.util.ArrayList;
import java.util.List;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/** Selects the engines of a pool that may receive an attempt of a generation now. */
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

    /** The eligible engines in pool order, as a new list that the caller may modify. */
    List<Engine> of(List<Engine> pool, Generation generation) {
        double nowMs = actions.nowMs();
        List<Engine> eligible = new ArrayList<>(pool.size());
        // If all engines are ejected, ejection is ignored: it must never leave a pool empty.
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
