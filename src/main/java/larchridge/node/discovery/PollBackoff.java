package larchridge.node.discovery;

/** The pause before a failed call to the agent is repeated: doubles up to a limit. */
final class PollBackoff {
    private static final double INITIAL_DELAY_MS = 50;

    private final double maxDelayMs;
    private double nextDelayMs = INITIAL_DELAY_MS;

    PollBackoff(double maxDelayMs) {
        this.maxDelayMs = maxDelayMs;
    }

    /** The pause before the next call; the one after it is twice as long. */
    double nextDelayMs() {
        double currentDelayMs = nextDelayMs;
        nextDelayMs = Math.min(maxDelayMs, 2 * currentDelayMs);
        return currentDelayMs;
    }

    /** Starts again at the shortest pause. */
    void reset() {
        nextDelayMs = INITIAL_DELAY_MS;
    }
}
