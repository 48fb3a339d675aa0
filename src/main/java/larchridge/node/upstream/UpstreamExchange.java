package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import larchridge.node.transport.ConnectFailure;

/**
 * One request on a connection and its response. All methods are called on the event loop. The last
 * call is one of {@link #responseCompleted}, {@link #responseMalformed}, {@link #disconnected} and
 * {@link #connectFailed}, unless the exchange is abandoned or {@link #encodeRequest} returns null.
 */
interface UpstreamExchange {
    /** Encodes the request just before it is sent; returns null if it must no longer be sent. */
    FullHttpRequest encodeRequest();

    /** Called when the last byte of the request was written to the socket. */
    default void requestWritten() {}

    /** Called with the response's status and headers; returns false if they are invalid. */
    boolean responseHeadReceived(HttpResponse response);

    /** Called with a part of the response's body; returns false if it is invalid. */
    boolean responseBodyReceived(ByteBuf content);

    /** Called at the end of the response; returns false if the connection must not be reused. */
    boolean responseCompleted();

    /** Called when everything from one socket read has been delivered. */
    default void socketReadCompleted() {}

    /** Called when the response cannot be decoded; the caller closes the connection. */
    void responseMalformed();

    /** Called when the connection ended before the response did. */
    void disconnected();

    /**
     * Called when the connection could not be established, never from within {@link
     * ConnectionPools#startExchange}.
     */
    void connectFailed(ConnectFailure failure);
}
