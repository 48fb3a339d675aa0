package larchridge.systemtest;

/**
 * One event of the traffic log, recorded at a client, at an engine or by the script.
 *
 * @param ms milliseconds since the start of the run, by one monotonic clock for the whole run
 * @param kind the kind of event
 * @param where the engine's id, or the router's index for events at clients
 * @param rid the attempt id that the router assigned, the client's tenant, or null
 * @param tag identifies a client's try, {@code operation#try}, or null
 * @param amount prompt tokens, the client's time limit in milliseconds, tokens received or sent, or
 *     1 for a cold start
 * @param word product, final answer, mode or kind of fault
 */
public record TrafficEvent(
        double ms, Kind kind, long where, String rid, String tag, double amount, String word) {
    /** The kinds of events. */
    public enum Kind {
        // at engines
        STARTED,
        STOPPED,
        READ_IN,
        WRITE_IN,
        LEG_OUT,
        RAN,
        STATE_HELD,
        STATE_GONE,
        // at clients
        ASKED,
        BEGUN,
        FINAL,
        AFTER_FINAL,
        LEFT,
        LOST,
        MALFORMED,
        // by the script
        LISTED,
        TROUBLE,
        FRONT_KILLED
    }

    /** Returns the operation that this try belongs to. */
    String operation() {
        return tag.substring(0, tag.lastIndexOf('#'));
    }
}
