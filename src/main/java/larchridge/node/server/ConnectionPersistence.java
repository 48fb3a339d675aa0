package larchridge.node.server;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/** Whether a connection stays open after a response. */
enum ConnectionPersistence {
    /** The connection waits for the next request. */
    KEEP_ALIVE,
    /** The connection is half-closed; the response has the header {@code Connection: close}. */
    CLOSE;

    /** Returns what the client's request asks for. */
    static ConnectionPersistence requestedBy(HttpRequest request) {
        return HttpUtil.isKeepAlive(request) ? KEEP_ALIVE : CLOSE;
    }
}
