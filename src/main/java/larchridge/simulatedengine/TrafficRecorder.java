package larchridge.simulatedengine;

/** Writes down what an engine's sockets saw. */
public interface TrafficRecorder {
    /** The things that can be seen at an engine. */
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
     * One sight.
     *
     * @param rid the attempt's name as it came, or null
     * @param tag the mark that the client put into its prompt, or null
     * @param amount prompt tokens, where they matter
     */
    void recordEvent(Event event, long engine, String rid, String tag, double amount);
}
