package larchridge.audit;

/** One transition of a request, kept to be logged with a violation. */
record RecordedEvent(double atMs, Kind kind, int attempt, Object detail) {
    /** Kinds of transitions; their names appear in the log. */
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
        return Math.round(atMs)
                + " "
                + kind
                + (attempt < 0 ? "" : " " + attempt)
                + (detail == null ? "" : " " + detail);
    }
}
