package larchridge.policy;

import java.util.Random;
import larchridge.state.Attempt;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/**
 * How often and when a generation may be attempted again, and how it is answered when it may not:
 * rejected with advice when to retry where a retry of the client is harmless, else failed.
 */
final class RetryPolicy {
    /** A read is of use only with an answer after it. */
    private static final int MIN_ATTEMPTS_FROM_READ = 2;

    private static final int MIN_ATTEMPTS_FROM_WRITE = 1;

    /**
     * How long before the client's deadline the final answer is given, so that it arrives in time.
     */
    private static final double FINAL_ANSWER_MARGIN_MS = 30;

    /**
     * The backoff after an attempt that could not be sent from here; it doubles up to the longest.
     */
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

    /** Whether a generation has attempts left for its next stage, and for what must follow it. */
    boolean hasAttemptsLeft(Generation generation) {
        int needed = generation.heldRead() == null ? MIN_ATTEMPTS_FROM_READ : MIN_ATTEMPTS_FROM_WRITE;
        return generation.attemptsSent() + needed <= maxAttempts;
    }

    /** Whether the moment has come to give a generation its final answer, whatever it is. */
    boolean isDeadlineNear(Generation generation, double nowMs) {
        return nowMs >= generation.deadlineMs - FINAL_ANSWER_MARGIN_MS;
    }

    /** Whether a backoff of a generation is over. */
    boolean isDue(Generation generation, double nowMs) {
        return nowMs >= generation.nextAttemptMs();
    }

    /**
     * Begins a backoff after an attempt that was not sent; nothing is known against its engine.
     *
     * <p>Guards against: where this machine can't open a connection for a moment, a generation
     * tried again at once would use up its attempts within a millisecond and be given up.
     */
    void backOff(Generation generation) {
        double backoffMs = BASE_NOT_SENT_BACKOFF_MS * Math.pow(2, generation.attemptsNotSent());
        generation.backOff(actions.nowMs() + Math.min(MAX_NOT_SENT_BACKOFF_MS, backoffMs));
    }

    /** Gives the final answer to the client of a generation that is given up. */
    void answerGivenUp(Generation generation) {
        if (isClientRetryHarmless(generation)) {
            actions.reject(generation, retryAfterMs());
        } else {
            actions.fail(generation);
        }
    }

    /** Rule 2: a rejection says that trying again is harmless. */
    private static boolean isClientRetryHarmless(Generation generation) {
        Effect effect = generation.trafficClass.effect;
        return effect == Effect.IDEMPOTENT
                || (effect == Effect.DEDUPLICATED
                        && generation.trafficClass.deduplicationScope == DeduplicationScope.ALL)
                || generation.attempts().stream().noneMatch(Attempt::mayHaveRun);
    }

    /**
     * Spread, so that those that are rejected together don't come back together; 0 is no advice.
     */
    private double retryAfterMs() {
        return retryAfterMaxMs <= 0 ? 0 : retryAfterMaxMs * (0.3 + 0.7 * random.nextDouble());
    }
}
