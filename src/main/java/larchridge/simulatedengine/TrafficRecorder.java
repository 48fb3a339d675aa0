package larchridge.simulatedengine;

/** Records the traffic of a simulated engine. */
public interface TrafficRecorder {
    /** The kinds of events at an engine. */
    enum Event {
        STARTED,
        STOPPED,
        READ_IN,
        WRITE_IN,
        LEG_OUT,
        RAN,
        STATE_HELD,
        STATE_GONE
    }

    /**
     * Records one event.
     *
     * @param rid the attempt's request id as received, or null
     * @param tag the tag that the client put into its prompt, or null
     * @param amount depends on the event: prompt tokens, tokens sent, or 1 for a cold start
     */
    void recordEvent(Event event, long engine, String rid, String tag, double amount);
}
