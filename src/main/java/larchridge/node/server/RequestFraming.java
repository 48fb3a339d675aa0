package larchridge.node.server;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Evaluates how a request's head frames its body. */
final class RequestFraming {
    private RequestFraming() {}

    static boolean isSupportedVersion(HttpRequest request) {
        return request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    /** Whether the head declares two lengths, or a transfer coding other than chunked. */
    static boolean hasAmbiguousLength(HttpRequest request) {
        HttpHeaders headers = request.headers();
        return isTransferEncoded(request)
                && (headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size() != 1
                        || !headers.get(HttpHeaderNames.TRANSFER_ENCODING)
                                .strip()
                                .equalsIgnoreCase("chunked"));
    }

    /** The length that the head declares, or 0 if it declares none. */
    static long declaredLength(HttpRequest request) {
        return isTransferEncoded(request) ? 0 : HttpUtil.getContentLength(request, 0L);
    }

    private static boolean isTransferEncoded(HttpRequest request) {
        return request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
