package larchridge.node.upstream;

/** How far an attempt has come. */
enum AttemptState {
    /** Nothing of an answer was received; the request may not even have been written. */
    AWAITING_RESPONSE,
    /** The first event of the answer was received. */
    STREAMING,
    /** The listener has got, or is getting, its last call. */
    ENDED
}
