package larchridge.planner;

import java.util.Random;
import larchridge.state.Effect;

/**
 * Whether a line whose generation ended without an answer goes again, and when. A throttled one may
 * always go again: the front says so only where that is harmless. A terminated one, and one that
 * was out when the process ended, may have run: only idempotent ones go again, so often at most.
 * Without I/O, clock or threads.
 */
public final class BatchRetryPolicy {
    private static final double INITIAL_BACKOFF_MS = 500;
    private static final double MAX_BACKOFF_MS = 30_000;
    private static final double REJECTION_BACKOFF_MS = 100;

    /** How a generation of a line ended. */
    public enum Outcome {
        THROTTLED,
        OVER_BUDGET,
        REJECTED,
        TERMINATED,
        PROCESS_ENDED
    }

    private final int maxAttempts;
    private final Random random;

    public BatchRetryPolicy(int maxAttempts, Random random) {
        this.maxAttempts = maxAttempts;
        this.random = random;
    }

    /**
     * After how many milliseconds the line goes again; under 0 if it does not.
     *
     * @param attempts how often it was handed out and may have run, this time included
     * @param rejections how often it was throttled in a row
     * @param retryAfterMs what the front said, or 0
     */
    public double retryDelayMs(
            Outcome outcome, Effect effect, int attempts, int rejections, double retryAfterMs) {
        return switch (outcome) {
            case REJECTED -> REJECTION_BACKOFF_MS * (0.5 + random.nextDouble());
            case OVER_BUDGET -> Math.max(retryAfterMs, REJECTION_BACKOFF_MS);
            case THROTTLED -> Math.max(retryAfterMs, backoffMs(rejections));
            case TERMINATED ->
                    effect == Effect.IDEMPOTENT && attempts < maxAttempts ? backoffMs(attempts) : -1;
            case PROCESS_ENDED -> effect == Effect.IDEMPOTENT && attempts < maxAttempts ? 0 : -1;
        };
    }

    private double backoffMs(int failures) {
        double maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * Math.pow(2, Math.max(0, failures - 1)));
        return maxDelayMs * (0.5 + 0.5 * random.nextDouble());
    }
}
