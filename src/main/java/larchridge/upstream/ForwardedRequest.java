package larchridge.upstream;

import java.util.List;

/**
 * A client's request that is forwarded to engines unchanged; used where clients and engines speak
 * the same protocol.
 *
 * @param method HTTP method
 * @param target path and query
 * @param id the client's request id
 * @param headers the client headers to forward, in their original order
 * @param body the request body; never modified
 * @param firstTokenDeadlineMs when the client stops waiting for the first token, in milliseconds of
 *     the router's clock
 */
@SuppressWarnings(
        "ArrayRecordComponent") // The body is passed on without a copy and never compared.
public record ForwardedRequest(
        String method,
        String target,
        String id,
        List<Header> headers,
        byte[] body,
        double firstTokenDeadlineMs) {
    /**
     * One header field.
     *
     * @param name the field name as the client wrote it
     * @param value the field value
     */
    public record Header(String name, String value) {}
}
