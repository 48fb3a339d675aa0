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
    private static final double FIRST_MS = 500;
    private static final double MOST_MS = 30_000;
    private static final double TURNED_AWAY_MS = 100;

    /** How a generation of a line ended. */
    public enum End {
        THROTTLED,
        OVER_BUDGET,
        TURNED_AWAY,
        TERMINATED,
        PROCESS_ENDED
    }

    private final int most;
    private final Random random;

    public BatchRetryPolicy(int most, Random random) {
        this.most = most;
        this.random = random;
    }

    /**
     * After how many milliseconds the line goes again; under 0 if it does not.
     *
     * @param attempts how often it was handed out and may have run, this time included
     * @param refusals how often it was throttled in a row
     * @param comeBackMs what the front said, or 0
     */
    public double againAfterMs(
            End end, Effect effect, int attempts, int refusals, double comeBackMs) {
        return switch (end) {
            case TURNED_AWAY -> TURNED_AWAY_MS * (0.5 + random.nextDouble());
            case OVER_BUDGET -> Math.max(comeBackMs, TURNED_AWAY_MS);
            case THROTTLED -> Math.max(comeBackMs, spread(refusals));
            case TERMINATED ->
                    effect == Effect.IDEMPOTENT && attempts < most ? spread(attempts) : -1;
            case PROCESS_ENDED -> effect == Effect.IDEMPOTENT && attempts < most ? 0 : -1;
        };
    }

    private double spread(int times) {
        double whole = Math.min(MOST_MS, FIRST_MS * Math.pow(2, Math.max(0, times - 1)));
        return whole * (0.5 + 0.5 * random.nextDouble());
    }
}
