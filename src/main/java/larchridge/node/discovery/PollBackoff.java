package larchridge.node.discovery;

/** The pause before a failed call to the agent is repeated: doubles up to a limit. */
final class PollBackoff {
    private static final double INITIAL_MS = 50;

    private final double maxMs;
    private double nextMs = INITIAL_MS;

    PollBackoff(double maxMs) {
        this.maxMs = maxMs;
    }

    /** The pause before the next call; the one after it is twice as long. */
    double nextMs() {
        double currentMs = nextMs;
        nextMs = Math.min(maxMs, 2 * currentMs);
        return currentMs;
    }

    /** Starts again at the shortest pause. */
    void reset() {
        nextMs = INITIAL_MS;
    }
}
