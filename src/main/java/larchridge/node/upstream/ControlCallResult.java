package larchridge.node.upstream;

/** What became of a small call to an engine: a release or a probe. */
enum ControlCallResult {
    /** The engine answered in time. */
    ANSWERED,
    /** It did not answer in time, broke off, or could not be reached. */
    UNANSWERED,
    /** This machine could not send it; that says nothing about the engine. */
    NOT_SENT
}
