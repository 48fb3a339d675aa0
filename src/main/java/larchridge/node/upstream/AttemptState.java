package larchridge.node.upstream;

/** State of an attempt. */
enum AttemptState {
    /** No event of the answer has been received; the request may not have been written yet. */
    AWAITING_RESPONSE,
    /** The first event of the answer has been received. */
    STREAMING,
    /** The last listener call has been made or is in progress. */
    ENDED
}
