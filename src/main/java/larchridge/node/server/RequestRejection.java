package larchridge.node.server;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;

/** Why a request is rejected before it is admitted, and the response that its client receives. */
enum RequestRejection {
    /** It can't be decoded. */
    UNREADABLE(HttpResponseStatus.BAD_REQUEST, "the request can't be read"),
    /** Its head exceeds a limit of the decoder. */
    HEAD_TOO_LONG(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the request can't be read"),
    /** It is not HTTP/1.1. */
    OTHER_VERSION(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here"),
    /** It declares two lengths, or a transfer coding other than chunked. */
    TWO_LENGTHS(HttpResponseStatus.BAD_REQUEST, "one length is expected"),
    /** Its body exceeds the limit. */
    BODY_TOO_LONG(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long"),
    /** Requests would exhaust the memory; a retry is safe, since nothing was forwarded. */
    NO_MEMORY(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once"),
    /** Its path is not served. */
    NOT_FOUND(HttpResponseStatus.NOT_FOUND, "nothing here"),
    /** Its method is not served on its path. */
    OTHER_METHOD(HttpResponseStatus.METHOD_NOT_ALLOWED, "POST is expected"),
    /** A header is missing or invalid; the client gets the message of the exception instead. */
    BAD_HEADER(HttpResponseStatus.BAD_REQUEST, "a header can't be used"),
    /** It names a traffic class that is not configured. */
    NO_SUCH_CLASS(HttpResponseStatus.BAD_REQUEST, "Req-Kind: no such class"),
    /** It has no body. */
    NO_BODY(HttpResponseStatus.BAD_REQUEST, "a body is expected"),
    /** The process is shutting down or shedding load. */
    NOT_ADMITTED(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once"),
    /**
     * Its id is in use or was used recently. Engines would take a second request with the id for a
     * duplicate of the first, and releasing the state of one would release that of the other.
     */
    ID_USED(HttpResponseStatus.CONFLICT, "Req-Id: was used before"),
    /** It was not received completely in time. */
    TOO_SLOW(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");

    /** Netty's class is not annotated as immutable, but it is. */
    @SuppressWarnings("ImmutableEnumChecker")
    final HttpResponseStatus status;

    final String message;

    RequestRejection(HttpResponseStatus status, String message) {
        this.status = status;
        this.message = message;
    }

    /** The name as a metric tag. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
