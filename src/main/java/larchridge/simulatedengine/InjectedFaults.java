package larchridge.simulatedengine;

/** What ails a stand-in just now; a script sets it, on the engine's loop. */
public final class InjectedFaults {
    /** Stands still until then: no work, no answers, also to probes; connections stay. */
    public double pausedUntilMs;

    public double slowness = 1;

    /** With more answers side by side than this it all but stands still; probes are answered. */
    public int stallsAbove = Integer.MAX_VALUE;

    /** Of answers, done but never sent; probes are answered. */
    public double lostShare;

    /** Every attempt is turned away as full. */
    public boolean full;

    /** Every attempt is answered with an error. */
    public boolean faulty;

    /** Of streams, broken off after some tokens. */
    public double brokenShare;

    /** Events come in pieces that end anywhere. */
    public boolean torn;

    /** Of answers, such that nobody can read. */
    public double garbledShare;

    /** Reports are this old. */
    public double reportLagMs;

    /** New states are forgotten at once, as by an engine short of memory. */
    public boolean forgetful;

    public void clear() {
        pausedUntilMs = 0;
        slowness = 1;
        stallsAbove = Integer.MAX_VALUE;
        lostShare = 0;
        full = false;
        faulty = false;
        brokenShare = 0;
        torn = false;
        garbledShare = 0;
        reportLagMs = 0;
        forgetful = false;
    }
}
