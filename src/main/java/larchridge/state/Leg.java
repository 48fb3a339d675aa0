package larchridge.state;

/** One send of a generation to one engine. */
public final class Leg {
    public final Gen gen;
    public final Engine engine;
    public final int number;
    public final boolean read;
    public final double sentMs;
    /** What this leg was counted at on its engine: prompt tokens to read, or tokens to hold. */
    public final double toks;
    /** Prompt tokens that are still to be read there for it. */
    public double unreadToks;
    /** The start of the engine's process this leg went to. */
    public final double engineStartMs;
    /** For how long its engine may be silent over it. */
    public double patienceMs;
    public boolean out = true;
    public boolean cancelled;
    /** Whether it was counted as a late move before it began. */
    public boolean toldLate;
    public Outcome outcome;

    public Leg(Gen gen, Engine engine, boolean read, double sentMs, double toks, double unreadToks) {
        this.gen = gen;
        this.engine = engine;
        this.number = gen.legs.size();
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
        return engine.mode == Mode.GONE || engine.startMs != engineStartMs;
    }

    /** Counts this leg at its generation and engine. */
    public void open() {
        gen.legs.add(this);
        gen.legsOut++;
        engine.legs.add(this);
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

    /** Takes this leg off the counts; false if that was done before. */
    public boolean close() {
        if (!out) {
            return false;
        }
        out = false;
        gen.legsOut--;
        markRead();
        engine.legs.remove(this);
        if (!read) {
            engine.writeToks = engine.legs.isEmpty() ? 0 : Math.max(0, engine.writeToks - toks);
            engine.streams = Math.max(0, engine.streams - 1);
        }
        return true;
    }
}
