package larchridge.node.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Builds the server's responses. */
final class Responses {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final double MS_PER_SECOND = 1000.0;

    private Responses() {}

    /** The interim response that tells the client to send the body. */
    static FullHttpResponse continueRequest() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /** A response without a body. */
    static FullHttpResponse empty(HttpResponseStatus status) {
        return complete(status, Unpooled.EMPTY_BUFFER);
    }

    static FullHttpResponse error(HttpResponseStatus status, String message) {
        String json = "{\"error\":{\"message\":\"" + message + "\"}}";
        FullHttpResponse response =
                complete(status, Unpooled.wrappedBuffer(json.getBytes(StandardCharsets.UTF_8)));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return response;
    }

    /** An error response that says when to retry, if the time is greater than 0. */
    static FullHttpResponse error(HttpResponseStatus status, String message, double retryAfterMs) {
        FullHttpResponse response = error(status, message);
        if (retryAfterMs > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            Double.toString(Math.round(retryAfterMs) / MS_PER_SECOND));
        }
        return response;
    }

    /** The head of a streamed response. */
    static HttpResponse streamHead() {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM)
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return response;
    }

    /** Announces that the connection is closed after the response. */
    static void setConnectionClose(HttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    private static FullHttpResponse complete(HttpResponseStatus status, ByteBuf content) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        return response;
    }
}
