package larchridge.state;

/**
 * One send of a generation to one engine. Its identity never changes; its state does once or twice.
 */
public final class Attempt {
    private enum State {
        IN_FLIGHT,
        /** Cancelled, and its outcome has not come yet. */
        CANCELLED,
        /** No longer in flight. */
        CLOSED
    }

    /** The generation that it serves. */
    public final Generation generation;

    /** The engine that it was sent to. */
    public final Engine engine;

    /** Its place among the generation's attempts, from 0. */
    public final int number;

    /** Whether it only reads the prompt; else it writes the answer, and may read for itself. */
    public final boolean readOnly;

    /** When it was sent. */
    public final double sentMs;

    /** What it was counted at on its engine: prompt tokens to read, or tokens to hold. */
    public final double countedTokens;

    /** The start of the engine's process it was sent to. */
    private final double engineStartMs;

    private double unreadTokens;
    private double silenceTimeoutMs;
    private boolean countedAsLateTransfer;
    private State state = State.IN_FLIGHT;
    private AttemptOutcome outcome;

    /**
     * An attempt that is about to be sent; {@link #open} counts it.
     *
     * @param countedTokens what it counts at on its engine: prompt tokens to read, or tokens to
     *     hold
     * @param unreadTokens prompt tokens to be read there for it
     */
    public Attempt(
            Generation generation,
            Engine engine,
            boolean readOnly,
            double sentMs,
            double countedTokens,
            double unreadTokens) {
        this.generation = generation;
        this.engine = engine;
        this.number = generation.attempts().size();
        this.readOnly = readOnly;
        this.sentMs = sentMs;
        this.countedTokens = countedTokens;
        this.unreadTokens = unreadTokens;
        this.engineStartMs = engine.startMs();
    }

    // ------------------------------------------------------------------ transitions

    /** Counts this attempt at its generation and engine. */
    public void open() {
        generation.opened(this);
        engine.opened(this);
    }

    /** Takes its prompt off what is unread at its engine. */
    public void markRead() {
        engine.promptRead(unreadTokens);
        unreadTokens = 0;
    }

    /** Cancels it while it is in flight; its outcome is still to come. */
    public void cancel() {
        state = state == State.CLOSED ? State.CLOSED : State.CANCELLED;
    }

    /** Notes how it ended. */
    public void recordOutcome(AttemptOutcome ended) {
        outcome = ended;
    }

    /** Takes this attempt off the counts; false if that was done before. */
    public boolean close() {
        if (state == State.CLOSED) {
            return false;
        }
        state = State.CLOSED;
        generation.closed();
        markRead();
        engine.closed(this);
        return true;
    }

    /** Sets for how long its engine may be silent over it. */
    public void setSilenceTimeoutMs(double ms) {
        silenceTimeoutMs = ms;
    }

    /** Notes that it was counted as a late transfer before its answer started. */
    public void countAsLateTransfer() {
        countedAsLateTransfer = true;
    }

    // ------------------------------------------------------------------ what is known of it

    /** Whether its end is still to come. */
    public boolean isInFlight() {
        return state != State.CLOSED;
    }

    /** Whether it was cancelled and its outcome is still to come. */
    public boolean isCancelled() {
        return state == State.CANCELLED;
    }

    /** Whether it is in flight and was not cancelled. */
    public boolean isActive() {
        return state == State.IN_FLIGHT;
    }

    /** How it ended, or null: it is in flight, or ended with a completed read. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Prompt tokens that are still to be read at its engine for it. */
    public double unreadTokens() {
        return unreadTokens;
    }

    /** For how long its engine may be silent over it. */
    public double silenceTimeoutMs() {
        return silenceTimeoutMs;
    }

    /** Whether it was counted as a late transfer before its answer started. */
    public boolean isCountedAsLateTransfer() {
        return countedAsLateTransfer;
    }

    /** Whether it was at a writer and is not proved to have had no effect. */
    public boolean mayHaveRun() {
        return !readOnly && (outcome == null || !outcome.provesNotRun);
    }

    /** Whether what it left at its engine is lost with the engine or its process. */
    public boolean isStateLost() {
        return engine.state() == EndpointState.REMOVED || engine.startMs() != engineStartMs;
    }
}
