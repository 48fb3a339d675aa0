package larchridge.audit;

import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.TrafficClass;

/**
 * Checks an attempt against the earlier attempts of its request, for forbidden hedging and retries.
 */
final class RetryAudit {
    private final boolean hedgingAllowed;
    private final Violations violations;

    RetryAudit(boolean hedgingAllowed, Violations violations) {
        this.hedgingAllowed = hedgingAllowed;
        this.violations = violations;
    }

    /** Checks an attempt before it is added to its request. */
    void checkAttempt(AuditedRequest request, AuditedAttempt attempt) {
        TrafficClass trafficClass = request.trafficClass;
        boolean idempotent = trafficClass.effect == Effect.IDEMPOTENT;
        for (AuditedAttempt earlier : request.attempts) {
            if (!earlier.hasEnded() && !(idempotent && hedgingAllowed)) {
                violations.report(
                        Invariant.NO_FORBIDDEN_HEDGE,
                        request.id,
                        "earlier attempt " + earlier.number + " is still in flight",
                        request.recentEvents());
            }
            if (!idempotent
                    && earlier.mayHaveHadEffect()
                    && !attempt.isRead
                    && !isDeduplicated(trafficClass, earlier, attempt)) {
                violations.report(
                        Invariant.NO_FORBIDDEN_RETRY,
                        request.id,
                        "attempt "
                                + earlier.number
                                + ", sent "
                                + Math.round(attempt.sentMs - earlier.sentMs)
                                + " ms earlier, may have run",
                        request.recentEvents());
            }
        }
    }

    /** Whether the engines recognize the attempt as a duplicate of the earlier one. */
    private static boolean isDeduplicated(
            TrafficClass trafficClass, AuditedAttempt earlier, AuditedAttempt attempt) {
        if (trafficClass.effect == Effect.SIDE_EFFECTING
                || attempt.sentMs - earlier.sentMs > trafficClass.deduplicationWindowMs) {
            return false;
        }
        if (earlier.engine == null
                || attempt.engine == null
                || trafficClass.deduplicationScope == DeduplicationScope.ALL) {
            return true;
        }
        return trafficClass.deduplicationScope == DeduplicationScope.ZONE
                ? earlier.engine.zone().equals(attempt.engine.zone())
                : earlier.engine.rack() == attempt.engine.rack();
    }
}
