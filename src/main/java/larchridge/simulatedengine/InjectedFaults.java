package larchridge.simulatedengine;

/** What ails a stand-in just now; a script sets it, on the engine's loop. */
public final class InjectedFaults {
    /** Stands still until then: no work, no answers, also to probes; connections stay. */
    public double pausedUntilMs;

    public double slowdownFactor = 1;

    /** With more answers side by side than this it all but stands still; probes are answered. */
    public int stallThreshold = Integer.MAX_VALUE;

    /** Of answers, done but never sent; probes are answered. */
    public double lostResponseShare;

    /** Every attempt is turned away as full. */
    public boolean rejectAll;

    /** Every attempt is answered with an error. */
    public boolean failAll;

    /** Of streams, broken off after some tokens. */
    public double brokenStreamShare;

    /** Events come in pieces that end anywhere. */
    public boolean splitWrites;

    /** Of answers, such that nobody can read. */
    public double malformedShare;

    /** Reports are this old. */
    public double metricsLagMs;

    /** New states are forgotten at once, as by an engine short of memory. */
    public boolean discardStates;

    public void clear() {
        pausedUntilMs = 0;
        slowdownFactor = 1;
        stallThreshold = Integer.MAX_VALUE;
        lostResponseShare = 0;
        rejectAll = false;
        failAll = false;
        brokenStreamShare = 0;
        splitWrites = false;
        malformedShare = 0;
        metricsLagMs = 0;
        discardStates = false;
    }
}
