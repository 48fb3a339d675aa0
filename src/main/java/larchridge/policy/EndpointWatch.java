package larchridge.policy;

import java.util.Random;

/** Requests the endpoint list where it has to be requested, and again some time after a failure. */
final class EndpointWatch {
    /** The shortest wait after a failure; the longest is twice as long, so that routers spread. */
    private static final double MIN_RETRY_DELAY_MS = 500;

    private final PolicyActions actions;
    private final Random random;
    private double nextRetryMs = Double.POSITIVE_INFINITY;

    EndpointWatch(PolicyActions actions, Random random) {
        this.actions = actions;
        this.random = random;
    }

    /** Requests the list for the first time. */
    void start() {
        actions.watchEndpoints();
    }

    /** Plans the next request after one has failed. */
    void scheduleRetry() {
        nextRetryMs = actions.nowMs() + MIN_RETRY_DELAY_MS * (1 + random.nextDouble());
    }

    /** Whether a request is planned. */
    boolean isRetryScheduled() {
        return nextRetryMs < Double.POSITIVE_INFINITY;
    }

    /** Requests the list if a planned request is due. */
    void retryIfDue(double nowMs) {
        if (nowMs >= nextRetryMs) {
            nextRetryMs = Double.POSITIVE_INFINITY;
            actions.watchEndpoints();
        }
    }
}
