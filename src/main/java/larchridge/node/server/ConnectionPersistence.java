package larchridge.node.server;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/** What becomes of a connection after a response. */
enum ConnectionPersistence {
    /** It waits for the next request. */
    KEEP_ALIVE,
    /** It is half-closed; the response says {@code Connection: close}. */
    CLOSE;

    /** What the client wants. */
    static ConnectionPersistence requestedBy(HttpRequest request) {
        return HttpUtil.isKeepAlive(request) ? KEEP_ALIVE : CLOSE;
    }
}
