package larchridge.audit;

/** One step in the life of a request, as kept for the log of a violation. */
record Transition(double ms, Kind kind, int attempt, Object detail) {
    /** The kinds of steps. */
    enum Kind {
        ACCEPTED,
        WRITTEN,
        READ,
        BEGUN,
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
