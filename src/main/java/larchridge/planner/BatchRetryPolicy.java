package larchridge.planner;

import java.util.Random;
import larchridge.state.Effect;

/**
 * Decides whether and when a line whose generation ended without an answer is retried. A throttled
 * line may always be retried: the router reports throttling only where a retry is harmless. A
 * terminated line, and one that was open when the process ended, may have run: it is retried only
 * if it is idempotent, up to a maximum number of attempts. Free of I/O, clocks and threads.
 */
public final class BatchRetryPolicy {
    private static final double INITIAL_BACKOFF_MS = 500;
    private static final double MAX_BACKOFF_MS = 30_000;
    private static final double NOT_RUN_BACKOFF_MS = 100;

    /** How a generation of a line ended. */
    public enum Outcome {
        /** The engines had no capacity for it. */
        THROTTLED,
        /** The tenant's budget rejected it. */
        OVER_BUDGET,
        /** The router that was asked did not accept it. */
        NOT_ACCEPTED,
        /** It failed and may have run. */
        TERMINATED,
        /** It was open when the previous process ended, and may have run. */
        PROCESS_ENDED
    }

    private final int maxAttempts;
    private final Random random;

    /**
     * A retry policy.
     *
     * @param maxAttempts the most attempts of a line that may have run
     * @param random spreads the delays
     */
    public BatchRetryPolicy(int maxAttempts, Random random) {
        this.maxAttempts = maxAttempts;
        this.random = random;
    }

    /**
     * Milliseconds until the line is retried; negative if it is not retried.
     *
     * @param attempts how often the line was started and may have run, this time included
     * @param timesNotRun how often the line was throttled, not accepted or over budget, this time
     *     included
     * @param retryAfterMs the delay that the router advised, or 0
     */
    public double retryDelayMs(
            Outcome outcome, Effect effect, int attempts, int timesNotRun, double retryAfterMs) {
        return switch (outcome) {
            case NOT_ACCEPTED -> NOT_RUN_BACKOFF_MS * (0.5 + random.nextDouble());
            case OVER_BUDGET -> Math.max(retryAfterMs, NOT_RUN_BACKOFF_MS);
            case THROTTLED -> Math.max(retryAfterMs, backoffMs(timesNotRun));
            case TERMINATED ->
                    effect == Effect.IDEMPOTENT && attempts < maxAttempts
                            ? backoffMs(attempts)
                            : -1;
            case PROCESS_ENDED -> effect == Effect.IDEMPOTENT && attempts < maxAttempts ? 0 : -1;
        };
    }

    /** An exponential backoff with random jitter of up to one half. */
    private double backoffMs(int failures) {
        double maxDelayMs =
                Math.min(
                        MAX_BACKOFF_MS,
                        INITIAL_BACKOFF_MS * Math.pow(2, Math.max(0, failures - 1)));
        return maxDelayMs * (0.5 + 0.5 * random.nextDouble());
    }
}
