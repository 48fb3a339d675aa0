package larchridge.audit;

/** One transition of a request, as kept for the log of a violation. */
record Transition(double ms, Kind kind, int attempt, Object detail) {
    /** The kinds of transitions; their names are logged. */
    enum Kind {
        ACCEPTED,
        WRITTEN,
        READ_COMPLETED,
        RESPONSE_STARTED,
        ENDED,
        HELD,
        RELEASED,
        ANSWERED,
        CLIENT_CLOSED
    }

    @Override
    public String toString() {
        return Math.round(ms)
                + " "
                + kind
                + (attempt < 0 ? "" : " " + attempt)
                + (detail == null ? "" : " " + detail);
    }
}
