package larchridge.upstream;

import java.util.List;

/**
 * A client's request that is forwarded to engines unchanged, where clients and engines speak the
 * same protocol.
 *
 * @param method HTTP method
 * @param target path and query
 * @param id the client's id of the request
 * @param headers the client's headers that are forwarded, in their order
 * @param body the body's bytes, never modified
 * @param firstTokenDeadlineMs when the client stops waiting for the first token, milliseconds in
 *     the router's clock
 */
@SuppressWarnings(
        "ArrayRecordComponent") // The body is handed on as it came, uncopied; never compared.
public record ForwardedRequest(
        String method,
        String target,
        String id,
        List<Header> headers,
        byte[] body,
        double firstTokenDeadlineMs) {
    /**
     * One header line.
     *
     * @param name the header's name as the client wrote it
     * @param value the header's value
     */
    public record Header(String name, String value) {}
}
