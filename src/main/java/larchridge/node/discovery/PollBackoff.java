package larchridge.node.discovery;

/** Computes the delay before polling is retried after a failure: doubles up to a maximum. */
final class PollBackoff {
    private static final double INITIAL_DELAY_MS = 50;

    private final double maxDelayMs;
    private double nextDelayMs = INITIAL_DELAY_MS;

    PollBackoff(double maxDelayMs) {
        this.maxDelayMs = maxDelayMs;
    }

    /** Returns the delay before the next retry and doubles it for the one after. */
    double nextDelayMs() {
        double currentDelayMs = nextDelayMs;
        nextDelayMs = Math.min(maxDelayMs, 2 * currentDelayMs);
        return currentDelayMs;
    }

    /** Resets the delay to its initial value. */
    void reset() {
        nextDelayMs = INITIAL_DELAY_MS;
    }
}
