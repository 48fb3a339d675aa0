package larchridge.node.server;

/** How a client connection handles the next decoded part of a request. */
enum ConnectionState {
    /** No head is decoded; a part of one may have arrived. The next part is processed. */
    AWAITING_REQUEST,
    /** A head was decoded and its body is being read. The next part is processed. */
    READING_BODY,
    /** A request is in flight. The next part is queued. */
    SERVING,
    /**
     * This side is closing the connection, or it is closed. The next part is dropped. Final state.
     */
    CLOSING;

    /** Whether parts of requests are processed as soon as they are decoded. */
    boolean readsRequests() {
        return this == AWAITING_REQUEST || this == READING_BODY;
    }
}
