package larchridge.node.upstream;

/** Result of a {@link ControlCall}. */
enum ControlCallResult {
    /** The engine responded in time, with any status. */
    ANSWERED,
    /** The engine was unreachable, disconnected, or sent no valid response in time. */
    UNANSWERED,
    /** The request could not be sent for a local reason, which says nothing about the engine. */
    NOT_SENT
}
