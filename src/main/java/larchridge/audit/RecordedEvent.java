package larchridge.audit;

/** One event of a request with its Unix time, kept to be logged with a violation. */
record RecordedEvent(double atMs, Kind kind, int attempt, Object detail) {
    /** Kinds of events; their names appear in the log. */
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
