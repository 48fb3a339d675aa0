package larchridge.node.server;

/** What a client's connection does with the next part of a request that is decoded. */
enum ConnectionState {
    /** No head of a request is decoded; a part of one may have arrived. The part is processed. */
    AWAITING_REQUEST,
    /** A head was decoded and its body is being read. The part is processed. */
    READING_BODY,
    /** A request is in flight. The part is pipelined and waits. */
    SERVING,
    /** This side ends the connection, or it is closed. The part is dropped. Final. */
    CLOSING;

    /** Whether a part of a request is processed as soon as it is decoded. */
    boolean readsRequests() {
        return this == AWAITING_REQUEST || this == READING_BODY;
    }
}
