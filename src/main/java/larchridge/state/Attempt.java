package larchridge.state;

/** One send of a generation to one engine. */
public final class Attempt {
    public final Generation generation;
    public final Engine engine;
    public final int number;
    public final boolean read;
    public final double sentMs;

    /** What this attempt was counted at on its engine: prompt tokens to read, or tokens to hold. */
    public final double countedTokens;

    /** Prompt tokens that are still to be read there for it. */
    public double unreadTokens;

    /** The start of the engine's process this attempt went to. */
    public final double engineStartMs;

    /** For how long its engine may be silent over it. */
    public double silenceTimeoutMs;

    public boolean inFlight = true;
    public boolean cancelled;

    /** Whether it was counted as a late move before it began. */
    public boolean countedAsLateMove;

    public AttemptOutcome outcome;

    public Attempt(
            Generation generation,
            Engine engine,
            boolean read,
            double sentMs,
            double countedTokens,
            double unreadTokens) {
        this.generation = generation;
        this.engine = engine;
        this.number = generation.attempts.size();
        this.read = read;
        this.sentMs = sentMs;
        this.countedTokens = countedTokens;
        this.unreadTokens = unreadTokens;
        this.engineStartMs = engine.startMs;
    }

    /** Whether it was at a writer and is not proved to have had no effect. */
    public boolean mayHaveRun() {
        return !read && (outcome == null || !outcome.provesNotRun);
    }

    /** Whether what it left at its engine is gone with the engine or its process. */
    public boolean isLost() {
        return engine.state == EndpointState.REMOVED || engine.startMs != engineStartMs;
    }

    /** Counts this attempt at its generation and engine. */
    public void open() {
        generation.attempts.add(this);
        generation.attemptsInFlight++;
        engine.attempts.add(this);
        engine.unreadTokens += unreadTokens;
        if (!read) {
            engine.writeTokens += countedTokens;
            engine.streams++;
        }
    }

    /** Takes its prompt off what is unread there. */
    public void markRead() {
        engine.unreadTokens = Math.max(0, engine.unreadTokens - unreadTokens);
        unreadTokens = 0;
    }

    /** Takes this attempt off the counts; false if that was done before. */
    public boolean close() {
        if (!inFlight) {
            return false;
        }
        inFlight = false;
        generation.attemptsInFlight--;
        markRead();
        engine.attempts.remove(this);
        if (!read) {
            engine.writeTokens =
                    engine.attempts.isEmpty() ? 0 : Math.max(0, engine.writeTokens - countedTokens);
            engine.streams = Math.max(0, engine.streams - 1);
        }
        return true;
    }
}
