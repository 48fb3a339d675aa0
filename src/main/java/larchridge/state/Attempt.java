package larchridge.state;

/** One request for a generation, sent to one engine. */
public final class Attempt {
    private enum State {
        IN_FLIGHT,
        /** Cancelled; the outcome has not been reported yet. */
        CANCELLED,
        /** Ended, and removed from the in-flight counts. */
        CLOSED
    }

    /** The generation this attempt belongs to. */
    public final Generation generation;

    /** The engine the attempt was sent to. */
    public final Engine engine;

    /** Zero-based index among the generation's attempts. */
    public final int number;

    /**
     * Whether the attempt only reads the prompt. Otherwise it writes the answer, and may also read
     * the prompt itself.
     */
    public final boolean readsOnly;

    /** Time at which the attempt was sent. */
    public final double sentMs;

    /** Tokens that the answer holds in the engine's memory; not used for a read. */
    public final double heldTokens;

    /** Start time of the engine process the attempt was sent to. */
    private final double engineStartMs;

    private double unreadTokens;
    private double silenceTimeoutMs;
    private boolean countedAsLateTransfer;
    private State state = State.IN_FLIGHT;
    private AttemptOutcome outcome;

    /**
     * Creates an attempt that is about to be sent; {@link #open} adds it to the in-flight counts.
     *
     * @param heldTokens tokens that the answer holds in the engine's memory; not used for a read
     * @param unreadTokens prompt tokens the engine has to read for this attempt
     */
    public Attempt(
            Generation generation,
            Engine engine,
            boolean readsOnly,
            double sentMs,
            double heldTokens,
            double unreadTokens) {
        this.generation = generation;
        this.engine = engine;
        this.number = generation.attempts().size();
        this.readsOnly = readsOnly;
        this.sentMs = sentMs;
        this.heldTokens = heldTokens;
        this.unreadTokens = unreadTokens;
        this.engineStartMs = engine.startMs();
    }

    // ------------------------------------------------------------------ transitions

    /** Adds this attempt to the in-flight counts of its generation and engine. */
    public void open() {
        generation.opened(this);
        engine.opened(this);
    }

    /** Subtracts the prompt from the engine's unread tokens. */
    public void markRead() {
        engine.promptRead(unreadTokens);
        unreadTokens = 0;
    }

    /** Marks the attempt as cancelled if it is in flight; its outcome is still reported later. */
    public void cancel() {
        state = state == State.CLOSED ? State.CLOSED : State.CANCELLED;
    }

    /** Records how the attempt ended. */
    public void recordOutcome(AttemptOutcome ended) {
        outcome = ended;
    }

    /** Removes this attempt from the in-flight counts; returns false if it was closed before. */
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

    /** Sets how long the engine may be silent before the attempt is hedged. */
    public void setSilenceTimeoutMs(double ms) {
        silenceTimeoutMs = ms;
    }

    /** Records that the attempt was counted as a late transfer before its answer started. */
    public void countAsLateTransfer() {
        countedAsLateTransfer = true;
    }

    // ------------------------------------------------------------------ queries

    /** Whether the attempt has not ended yet. */
    public boolean isInFlight() {
        return state != State.CLOSED;
    }

    /** Whether the attempt was cancelled and its outcome has not been reported yet. */
    public boolean isCancelled() {
        return state == State.CANCELLED;
    }

    /** Whether the attempt is in flight and was not cancelled. */
    public boolean isActive() {
        return state == State.IN_FLIGHT;
    }

    /** The outcome; null while in flight and after a completed read. */
    public AttemptOutcome outcome() {
        return outcome;
    }

    /** Prompt tokens the engine still has to read for this attempt. */
    public double unreadTokens() {
        return unreadTokens;
    }

    /** How long the engine may be silent before the attempt is hedged. */
    public double silenceTimeoutMs() {
        return silenceTimeoutMs;
    }

    /** Whether the attempt was counted as a late transfer before its answer started. */
    public boolean isCountedAsLateTransfer() {
        return countedAsLateTransfer;
    }

    /**
     * Whether the attempt may have had an effect: it is not only a read, and its outcome does not
     * rule an effect out.
     */
    public boolean mayHaveRun() {
        return !readsOnly && (outcome == null || !outcome.provesNotRun);
    }

    /** Whether the state it left on the engine is gone: engine removed or process restarted. */
    public boolean isStateLost() {
        return engine.state() == EndpointState.REMOVED || engine.startMs() != engineStartMs;
    }
}
