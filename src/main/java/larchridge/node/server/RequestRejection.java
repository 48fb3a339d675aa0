package larchridge.node.server;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;

/** Why a request is refused before it is taken, and what its client is told. */
enum RequestRejection {
    UNREADABLE(HttpResponseStatus.BAD_REQUEST, "the request can't be read"),
    HEAD_TOO_LONG(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the request can't be read"),
    OTHER_VERSION(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here"),
    TWO_LENGTHS(HttpResponseStatus.BAD_REQUEST, "one length is expected"),
    BODY_TOO_LONG(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long"),
    /** Many bodies at once would fill the memory; coming back is harmless, nothing was taken. */
    NO_MEMORY(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once"),
    NOT_FOUND(HttpResponseStatus.NOT_FOUND, "nothing here"),
    OTHER_METHOD(HttpResponseStatus.METHOD_NOT_ALLOWED, "POST is expected"),
    BAD_HEADER(HttpResponseStatus.BAD_REQUEST, "a header can't be used"),
    NO_SUCH_CLASS(HttpResponseStatus.BAD_REQUEST, "Req-Kind: no such class"),
    NO_BODY(HttpResponseStatus.BAD_REQUEST, "a body is expected"),
    /** The process ends, or takes no more for now. */
    NOT_ADMITTED(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once"),
    /**
     * A second request under an open one's id would be its second copy, and its release the
     * other's.
     */
    ID_USED(HttpResponseStatus.CONFLICT, "Req-Id: was used before"),
    TOO_SLOW(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");

    /** Netty does not mark it as immutable, but it is. */
    @SuppressWarnings("ImmutableEnumChecker")
    final HttpResponseStatus status;

    final String message;

    RequestRejection(HttpResponseStatus status, String message) {
        this.status = status;
        this.message = message;
    }

    /** The name as a tag of a figure. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
