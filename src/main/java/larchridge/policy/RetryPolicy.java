package larchridge.policy;

import java.util.Random;
import larchridge.state.Attempt;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/**
 * Decides how often and when a generation may be attempted again, and how it is answered if it may
 * not: rejected, with advice when to retry, if a retry by the client is safe; failed otherwise.
 */
final class RetryPolicy {
    /** Attempts that must be left before a read: the read and the write after it. */
    private static final int ATTEMPTS_NEEDED_FOR_READ = 2;

    private static final int ATTEMPTS_NEEDED_FOR_WRITE = 1;

    /** Time before the client's deadline at which the final answer is given, to arrive in time. */
    private static final double FINAL_ANSWER_MARGIN_MS = 30;

    /** Initial backoff after an attempt that could not be sent; doubles up to the maximum. */
    private static final double BASE_NOT_SENT_BACKOFF_MS = 20;

    private static final double MAX_NOT_SENT_BACKOFF_MS = 320;

    private final PolicyActions actions;
    private final Random random;
    private final int maxAttempts;
    private final double retryAfterMaxMs;

    RetryPolicy(RoutingSettings settings, PolicyActions actions, Random random) {
        this.actions = actions;
        this.random = random;
        maxAttempts = settings.maxAttempts();
        retryAfterMaxMs = settings.retryAfterMaxMs();
    }

    /** Whether a generation has enough attempts left for its next stage and those after it. */
    boolean hasAttemptsLeft(Generation generation) {
        int needed =
                generation.readWithHeldState() == null
                        ? ATTEMPTS_NEEDED_FOR_READ
                        : ATTEMPTS_NEEDED_FOR_WRITE;
        return generation.attemptsSent() + needed <= maxAttempts;
    }

    /** Whether the client's deadline is so near that the final answer has to be given now. */
    boolean isDeadlineNear(Generation generation, double nowMs) {
        return nowMs >= generation.deadlineMs - FINAL_ANSWER_MARGIN_MS;
    }

    /** Whether the backoff of a generation has elapsed. */
    boolean isDue(Generation generation, double nowMs) {
        return nowMs >= generation.nextAttemptMs();
    }

    /**
     * Starts a backoff after an attempt that was not sent, which is no evidence against its engine.
     *
     * <p>Guards against: while this machine cannot open connections for a moment, a generation
     * would use up its attempts within a millisecond and be given up. Attempts not sent therefore
     * do not count against the limit and are not repeated immediately.
     */
    void backOff(Generation generation) {
        double backoffMs = BASE_NOT_SENT_BACKOFF_MS * Math.pow(2, generation.attemptsNotSent());
        generation.backOff(actions.nowMs() + Math.min(MAX_NOT_SENT_BACKOFF_MS, backoffMs));
    }

    /** Rejects a given-up generation if its client may safely retry; fails it otherwise. */
    void rejectOrFail(Generation generation) {
        if (isClientRetrySafe(generation)) {
            actions.reject(generation, retryAfterMs());
        } else {
            actions.fail(generation);
        }
    }

    /**
     * Whether the client may safely retry, which a rejection tells it: a request takes effect at
     * most once.
     */
    private static boolean isClientRetrySafe(Generation generation) {
        Effect effect = generation.trafficClass.effect;
        return effect == Effect.IDEMPOTENT
                || (effect == Effect.DEDUPLICATED
                        && generation.trafficClass.deduplicationScope == DeduplicationScope.ALL)
                || generation.attempts().stream().noneMatch(Attempt::mayHaveRun);
    }

    /** Retry delay with jitter, so that clients rejected together do not retry together; or 0. */
    private double retryAfterMs() {
        return retryAfterMaxMs <= 0 ? 0 : retryAfterMaxMs * (0.3 + 0.7 * random.nextDouble());
    }
}
