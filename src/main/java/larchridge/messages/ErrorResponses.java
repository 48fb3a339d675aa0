package larchridge.messages;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Error responses of the messages API, which may precede the end of the request's body. */
final class ErrorResponses {
    /** The rest of a body up to this length is read after an error. */
    private static final int MAX_DRAINED_BYTES = 64 << 10;

    private ErrorResponses() {}

    /**
     * Sends an error response. The rest of a short body is drained. After a longer one, or one of
     * unknown length, an HTTP/1 connection is closed, since the body has not been read.
     */
    static void send(HttpServerRequest request, String id, ApiException error, int retryAfterS) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        if (retryAfterS >= 0) {
            response.putHeader("retry-after", Integer.toString(retryAfterS));
        }
        long length = contentLength(request);
        if (length > 0 && length <= MAX_DRAINED_BYTES && error.status != 413) {
            request.resume();
        } else if (length != 0 && request.version() != io.vertx.core.http.HttpVersion.HTTP_2) {
            response.putHeader("connection", "close");
        }
        response.setStatusCode(error.status)
                .putHeader("content-type", "application/json")
                .end(MessageEvents.error(error, id).toString());
    }

    /** The length that the request declares, or -1 if it declares none. */
    static long contentLength(HttpServerRequest request) {
        String length = request.getHeader("content-length");
        try {
            return length == null ? -1 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
