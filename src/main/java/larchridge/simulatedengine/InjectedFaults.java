package larchridge.simulatedengine;

/** The faults of a simulated engine. Set by a test script, on the engine's event loop. */
public final class InjectedFaults {
    /**
     * Until this time, in milliseconds of Unix time, the engine does no work and answers nothing,
     * probes included; its connections stay open.
     */
    public double pausedUntilMs;

    public double slowdownFactor = 1;

    /** With more concurrent attempts than this the engine nearly stops; it still answers probes. */
    public int stallThreshold = Integer.MAX_VALUE;

    /** Share of attempts that run but are never answered; probes are answered. */
    public double lostResponseShare;

    /** Rejects every attempt as if the queue were full. */
    public boolean rejectAll;

    /** Answers every attempt with an error. */
    public boolean failAll;

    /** Share of streams that are reset after some tokens. */
    public double brokenStreamShare;

    /** Splits each event at an arbitrary position into two writes. */
    public boolean splitWrites;

    /**
     * Share of read responses that are malformed; stream events are malformed at an eighth of it.
     */
    public double malformedShare;

    /** Age of the metrics page. */
    public double metricsLagMs;

    /** Discards new read states at once, like an engine short of memory. */
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
