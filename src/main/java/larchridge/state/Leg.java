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
    /** The start of the engine's process this leg went to. */
    public final double engineStartMs;
    public double overdueMs;
    public boolean out = true;
    public boolean cancelled;
    public boolean overdue;
    public boolean begun;
    public Outcome outcome;

    public Leg(Gen gen, Engine engine, boolean read, double sentMs, double toks) {
        this.gen = gen;
        this.engine = engine;
        this.number = gen.legs.size();
        this.read = read;
        this.sentMs = sentMs;
        this.toks = toks;
        this.engineStartMs = engine.startMs;
    }

    /** Counts this leg at its generation and engine. */
    public void open(double nowMs) {
        gen.legs.add(this);
        gen.legsOut++;
        engine.settleBusy(nowMs);
        engine.legs.add(this);
        if (read) {
            engine.unreadToks += toks;
        } else {
            engine.writeToks += toks;
            engine.streams++;
        }
    }

    /** Takes this leg off the counts; false if that was done before. */
    public boolean close(double nowMs) {
        if (!out) {
            return false;
        }
        out = false;
        gen.legsOut--;
        engine.settleBusy(nowMs);
        engine.legs.remove(this);
        if (read) {
            engine.unreadToks = engine.legs.isEmpty() ? 0 : Math.max(0, engine.unreadToks - toks);
        } else {
            engine.writeToks = engine.legs.isEmpty() ? 0 : Math.max(0, engine.writeToks - toks);
            engine.streams = Math.max(0, engine.streams - 1);
        }
        return true;
    }
}
