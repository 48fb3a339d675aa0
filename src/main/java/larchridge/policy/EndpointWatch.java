package larchridge.policy;

import java.util.Random;

/** Subscribes to the endpoint list where it is not pushed, and again after failures. */
final class EndpointWatch {
    /** Minimum delay after a failure; jitter up to twice as long spreads the routers' retries. */
    private static final double MIN_RETRY_DELAY_MS = 500;

    private final PolicyActions actions;
    private final Random random;
    private double nextRetryMs = Double.POSITIVE_INFINITY;

    EndpointWatch(PolicyActions actions, Random random) {
        this.actions = actions;
        this.random = random;
    }

    /** Subscribes for the first time. */
    void start() {
        actions.watchEndpoints();
    }

    /** Schedules the next subscription after a failure. */
    void scheduleRetry() {
        nextRetryMs = actions.nowMs() + MIN_RETRY_DELAY_MS * (1 + random.nextDouble());
    }

    /** Whether a new subscription is scheduled. */
    boolean isRetryScheduled() {
        return nextRetryMs < Double.POSITIVE_INFINITY;
    }

    /** Subscribes again if a scheduled subscription is due. */
    void retryIfDue(double nowMs) {
        if (nowMs >= nextRetryMs) {
            nextRetryMs = Double.POSITIVE_INFINITY;
            actions.watchEndpoints();
        }
    }
}
