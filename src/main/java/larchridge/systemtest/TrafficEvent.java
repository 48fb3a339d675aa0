package larchridge.systemtest;

/**
 * One line of the traffic log: what an end of a socket, or the script, saw or did.
 *
 * @param ms one monotonic clock for all of a run, from its start
 * @param kind what was seen
 * @param where the engine's id, or the front's number for what clients saw
 * @param rid an attempt's name as the front gave it, a client's tenant, or null
 * @param tag the client's own mark of a try, {@code operation#try}, or null
 * @param amount prompt tokens, milliseconds of patience, tokens got or sent, or 1 for a cold start
 * @param word product, final answer, mode or trouble
 */
public record TrafficEvent(
        double ms, Kind kind, long where, String rid, String tag, double amount, String word) {
    /** The kinds of sights. */
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

    /** The operation that this try belongs to. */
    String operation() {
        return tag.substring(0, tag.lastIndexOf('#'));
    }
}
