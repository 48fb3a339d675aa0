package larchridge.state;

/** One send of a generation to one engine. */
public final class Attempt {
    public final Generation gen;
    public final Engine engine;
    public final int number;
    public final boolean read;
    public final double sentMs;

    /** What this attempt was counted at on its engine: prompt tokens to read, or tokens to hold. */
    public final double toks;

    /** Prompt tokens that are still to be read there for it. */
    public double unreadToks;

    /** The start of the engine's process this attempt went to. */
    public final double engineStartMs;

    /** For how long its engine may be silent over it. */
    public double patienceMs;

    public boolean out = true;
    public boolean cancelled;

    /** Whether it was counted as a late move before it began. */
    public boolean toldLate;

    public AttemptOutcome outcome;

    public Attempt(
            Generation gen,
            Engine engine,
            boolean read,
            double sentMs,
            double toks,
            double unreadToks) {
        this.gen = gen;
        this.engine = engine;
        this.number = gen.attempts.size();
        this.read = read;
        this.sentMs = sentMs;
        this.toks = toks;
        this.unreadToks = unreadToks;
        this.engineStartMs = engine.startMs;
    }

    /** Whether it was at a writer and is not proved to have had no effect. */
    public boolean mayHaveRun() {
        return !read && (outcome == null || !outcome.neverRan);
    }

    /** Whether what it left at its engine is gone with the engine or its process. */
    public boolean isLost() {
        return engine.mode == EndpointState.GONE || engine.startMs != engineStartMs;
    }

    /** Counts this attempt at its generation and engine. */
    public void open() {
        gen.attempts.add(this);
        gen.attemptsOut++;
        engine.attempts.add(this);
        engine.unreadToks += unreadToks;
        if (!read) {
            engine.writeToks += toks;
            engine.streams++;
        }
    }

    /** Takes its prompt off what is unread there. */
    public void markRead() {
        engine.unreadToks = Math.max(0, engine.unreadToks - unreadToks);
        unreadToks = 0;
    }

    /** Takes this attempt off the counts; false if that was done before. */
    public boolean close() {
        if (!out) {
            return false;
        }
        out = false;
        gen.attemptsOut--;
        markRead();
        engine.attempts.remove(this);
        if (!read) {
            engine.writeToks = engine.attempts.isEmpty() ? 0 : Math.max(0, engine.writeToks - toks);
            engine.streams = Math.max(0, engine.streams - 1);
        }
        return true;
    }
}
