package larchridge.policy;

import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.Role;

/**
 * Ejects engines that are unreachable, stop responding or return errors. An ejected engine gets no
 * attempts for a while, then one at a time on probation, and is unejected as soon as it responds,
 * unless its error rate is still too high.
 */
final class OutlierDetector {
    /** Duration of the first ejection; it doubles with each further one up to the maximum. */
    private static final double BASE_EJECTION_MS = 500;

    private static final double MAX_EJECTION_MS = 4000;

    /** Weight of the newest response in the moving average of the error rate. */
    private static final double ERROR_RATE_EWMA_WEIGHT = 0.25;

    /** Error rate at which an engine is ejected: reached by two errors in a row, not by one. */
    private static final double EJECTION_ERROR_RATE = 0.4;

    /** How long a full engine is avoided; shorter if load reports show its actual load. */
    private static final double FULL_BACKOFF_MS = 2000;

    private static final double FULL_BACKOFF_WITH_REPORTS_MS = 300;

    private final PolicyActions actions;
    private final Random random;

    OutlierDetector(PolicyActions actions, Random random) {
        this.actions = actions;
        this.random = random;
    }

    /** Whether the health of an engine allows an attempt. */
    boolean isHealthy(Engine engine, double nowMs) {
        // Guards against: a full affinity reader would be tried again until the generation has no
        // attempts left.
        return !engine.isEjected(nowMs)
                && (!engine.isOnProbation() || engine.attempts().isEmpty())
                && (engine.role() != Role.READER || !engine.isFull(nowMs));
    }

    /** Counts a successful response. */
    void recordSuccess(Engine engine) {
        engine.updateErrorRate(0, ERROR_RATE_EWMA_WEIGHT);
    }

    /**
     * Counts an error.
     *
     * <p>Guards against: an engine that fails immediately always looks idle and would attract one
     * attempt after another, until the generations have used up their attempts. It must not be
     * unejected just because it still responds, also to probes.
     */
    void recordError(Engine engine) {
        engine.updateErrorRate(1, ERROR_RATE_EWMA_WEIGHT);
    }

    /**
     * Ejects an engine whose error rate is too high.
     *
     * <p>Guards against: a single broken keep-alive connection is weak evidence; if each one
     * ejected its engine, most engines would be ejected during widespread connection resets.
     */
    void ejectIfFailing(Engine engine) {
        if (engine.errorRate() >= EJECTION_ERROR_RATE) {
            eject(engine);
        }
    }

    /** Records a response and unejects the engine unless its error rate is too high. */
    void recordResponse(Engine engine, double nowMs) {
        engine.recordResponse(nowMs);
        if (engine.errorRate() < EJECTION_ERROR_RATE) {
            engine.uneject();
        }
    }

    /** Records that an engine had no capacity, so that it is avoided for a while. */
    void recordFull(Engine engine, double nowMs) {
        engine.recordFull(
                nowMs + (engine.hasReported() ? FULL_BACKOFF_WITH_REPORTS_MS : FULL_BACKOFF_MS));
    }

    /** Ejects an engine unless it is already ejected. */
    void eject(Engine engine) {
        double nowMs = actions.nowMs();
        if (engine.isEjected(nowMs)) {
            return;
        }
        double doubledMs = Math.max(BASE_EJECTION_MS, 2 * engine.ejectionMs());
        double ejectionMs = Math.min(MAX_EJECTION_MS, doubledMs);
        // Jitter keeps the routers from all returning to the engine at the same moment.
        engine.eject(ejectionMs, nowMs + ejectionMs * (0.75 + 0.5 * random.nextDouble()));
        actions.log("engine " + engine.id + " ejected for " + Math.round(ejectionMs) + " ms");
    }
}
