package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import larchridge.node.transport.ConnectFailure;

/**
 * One request on a connection and its response. All methods are called on the loop, and the last
 * call is one of {@link #responseCompleted}, {@link #responseMalformed}, {@link #disconnected} and
 * {@link #connectFailed}.
 */
interface UpstreamExchange {
    /** Encodes the request at the last moment; null if it must not be sent any more. */
    FullHttpRequest encodeRequest();

    /** The last byte of the request was written to the socket. */
    default void requestWritten() {}

    /** The response's status and headers; false if they can't be used. */
    boolean responseHeadReceived(HttpResponse response);

    /** A part of the response's body; false if it can't be used. */
    boolean responseBodyReceived(ByteBuf content);

    /** The end of the response; false if the connection must not be used again. */
    boolean responseCompleted();

    /** All that one read of the socket brought has been passed on. */
    default void readBatchCompleted() {}

    /** What was received can't be decoded; the connection is being closed by the caller. */
    void responseMalformed();

    /** The connection ended before the response did. */
    void disconnected();

    /** The connection never came up; never called from inside the call that opened it. */
    void connectFailed(ConnectFailure failure);
}
