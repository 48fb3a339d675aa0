package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import larchridge.node.transport.ConnectFailure;

/**
 * One request on a connection and what comes back; called on the loop, never from inside the call
 * that started it.
 */
interface UpstreamExchange {
    /** The request as it goes out, worded at the last moment; null if it must not go any more. */
    FullHttpRequest request();

    /** Its last byte went to the socket. */
    default void written() {}

    /** The head of the answer; false if it can't be used. */
    boolean head(HttpResponse response);

    /** Some of the answer's body; false if it can't be used. */
    boolean body(ByteBuf some);

    /** The answer's end; false if the connection must not be used again. */
    boolean completed();

    /** All of one read was told. */
    default void paused() {}

    /** What came can't be read. The connection is closed by the one that tells. */
    void malformed();

    /** The connection broke. The last call, as whole and garbled are. */
    void disconnected();

    /** The connection never came up; told later than the call that opened it. The last call too. */
    void notConnected(ConnectFailure failure);
}
