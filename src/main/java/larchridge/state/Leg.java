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
}
