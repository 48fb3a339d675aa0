package larchridge.node.upstream;

/** How a {@link ControlCall}, a release or a probe, ended. */
enum ControlCallResult {
    /** The engine answered in time. */
    ANSWERED,
    /** The engine did not answer in time, disconnected, or could not be reached. */
    UNANSWERED,
    /** This machine could not send it; that says nothing about the engine. */
    NOT_SENT
}
