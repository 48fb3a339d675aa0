package larchridge.policy;

import java.util.Random;
import larchridge.state.EngineRegistry;
import larchridge.state.RoutingSettings;

/** The components that track engines: membership, health, load, latency and cached prefixes. */
record EngineView(
        EngineRegistry registry,
        OutlierDetector outliers,
        SlowStart slowStart,
        EligibleEngines eligible,
        PrefixAffinity affinity,
        LoadEstimator load,
        LatencyEstimator latency,
        WriterCapacity capacity) {

    /** Creates a view without engines; the random generator is shared with the whole policy. */
    static EngineView create(RoutingSettings settings, PolicyActions actions, Random random) {
        EngineRegistry registry = new EngineRegistry();
        OutlierDetector outliers = new OutlierDetector(actions, random);
        SlowStart slowStart = new SlowStart(settings, registry, random, actions.nowMs());
        LoadEstimator load = new LoadEstimator(settings, actions, registry.writers());
        return new EngineView(
                registry,
                outliers,
                slowStart,
                new EligibleEngines(settings, actions, outliers, slowStart),
                new PrefixAffinity(settings, actions, registry),
                load,
                new LatencyEstimator(load),
                new WriterCapacity(actions, load, registry.writers()));
    }
}
