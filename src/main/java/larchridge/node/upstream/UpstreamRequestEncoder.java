package larchridge.node.upstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import larchridge.upstream.Endpoint;
import larchridge.upstream.ForwardedRequest;

/** Encodes requests to engines. */
final class UpstreamRequestEncoder {
    private static final String REQUEST_ID_HEADER = "Req-Id";
    private static final String DEADLINE_HEADER = "Req-Deadline-Ms";
    private static final String DEFAULT_CONTENT_TYPE = "application/json";
    private static final byte[] NO_BODY = new byte[0];

    private UpstreamRequestEncoder() {}

    /**
     * Encodes a client's request unchanged, with the time remaining until its deadline.
     *
     * @param remainingMs time remaining for the first token
     */
    static FullHttpRequest encodeForwarded(
            ForwardedRequest forwarded, Endpoint endpoint, long remainingMs) {
        FullHttpRequest request =
                encode(
                        endpoint,
                        HttpMethod.valueOf(forwarded.method()),
                        forwarded.target(),
                        forwarded.body());
        forwarded.headers().forEach(header -> request.headers().add(header.name(), header.value()));
        if (!request.headers().contains(HttpHeaderNames.CONTENT_TYPE)) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, DEFAULT_CONTENT_TYPE);
        }
        request.headers()
                .set(REQUEST_ID_HEADER, forwarded.id())
                .set(DEADLINE_HEADER, Long.toString(remainingMs))
                .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(forwarded.body().length));
        return request;
    }

    /** Encodes a request that this node itself makes, without a body. */
    static FullHttpRequest encodeControl(Endpoint endpoint, HttpMethod method, String target) {
        return encode(endpoint, method, target, NO_BODY);
    }

    private static FullHttpRequest encode(
            Endpoint endpoint, HttpMethod method, String target, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, endpoint.toString());
        return request;
    }
}
