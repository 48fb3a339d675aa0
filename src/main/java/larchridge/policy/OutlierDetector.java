package larchridge.policy;

import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.Role;

/**
 * Ejects engines that can't be reached, fall silent or answer with errors: such an engine gets no
 * attempt for a while, then one as a trial, and is taken back as soon as anything is heard from it.
 */
final class OutlierDetector {
    /** The first ejection, and the longest one, to which each further ejection doubles. */
    private static final double BASE_EJECTION_MS = 500;

    private static final double MAX_EJECTION_MS = 4000;

    /** What the newest answer counts in the share of an engine's errors. */
    private static final double ERROR_RATE_EWMA_WEIGHT = 0.25;

    /** The share of errors from which on an engine is ejected: two in a row, not one. */
    private static final double EJECTION_ERROR_RATE = 0.4;

    /**
     * How long an engine that was full gets no more; shorter where reports tell its load exactly.
     */
    private static final double FULL_BACKOFF_MS = 2000;

    private static final double FULL_BACKOFF_WITH_REPORTS_MS = 300;

    private final PolicyActions actions;
    private final Random random;

    OutlierDetector(PolicyActions actions, Random random) {
        this.actions = actions;
        this.random = random;
    }

    /** Whether an engine may get an attempt. */
    boolean isHealthy(Engine engine, double nowMs) {
        // Guards against: an affinity reader that has just been full would be tried again until no
        // attempt is left.
        return !engine.isEjected(nowMs)
                && (!engine.isOnProbation() || engine.attempts().isEmpty())
                && (engine.role() != Role.READER || !engine.isFull(nowMs));
    }

    /** Counts an answer that was none of an error. */
    void recordSuccess(Engine engine) {
        engine.recordAnswer(0, ERROR_RATE_EWMA_WEIGHT);
    }

    /**
     * Counts an error.
     *
     * <p>Guards against: an engine that fails at once is always idle and would draw one attempt
     * after another, until its generations have used up their attempts; that it still answers,
     * probes too, must not clear it.
     */
    void recordError(Engine engine) {
        engine.recordAnswer(1, ERROR_RATE_EWMA_WEIGHT);
    }

    /**
     * Ejects an engine of whose answers too many were errors.
     *
     * <p>Guards against: a kept connection that breaks says little; were each to eject its engine,
     * most engines would be ejected while connections are reset all over.
     */
    void ejectIfFailing(Engine engine) {
        if (engine.errorRate() >= EJECTION_ERROR_RATE) {
            eject(engine);
        }
    }

    /** Takes an engine back that has answered, unless it answers with errors. */
    void recordContact(Engine engine, double nowMs) {
        engine.recordContact(nowMs);
        if (engine.errorRate() < EJECTION_ERROR_RATE) {
            engine.uneject();
        }
    }

    /** Spares an engine that had no capacity. */
    void recordFull(Engine engine, double nowMs) {
        engine.recordFull(nowMs + (engine.hasReported() ? FULL_BACKOFF_WITH_REPORTS_MS : FULL_BACKOFF_MS));
    }

    /** Ejects an engine that can't be reached or is silent, unless it is ejected already. */
    void eject(Engine engine) {
        double nowMs = actions.nowMs();
        if (engine.isEjected(nowMs)) {
            return;
        }
        double doubledMs = Math.max(BASE_EJECTION_MS, 2 * engine.ejectionMs());
        double ejectionMs = Math.min(MAX_EJECTION_MS, doubledMs);
        // Spread by chance, so that routers do not all come back in one moment.
        engine.eject(ejectionMs, nowMs + ejectionMs * (0.75 + 0.5 * random.nextDouble()));
        actions.log("engine " + engine.id + " ejected for " + Math.round(ejectionMs) + " ms");
    }
}
