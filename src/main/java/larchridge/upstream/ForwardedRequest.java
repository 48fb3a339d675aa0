package larchridge.upstream;

import java.util.List;

/**
 * A request that goes on to engines as it came, where clients and engines speak one protocol: what
 * must stay unchanged of it, with the client's own name for it.
 *
 * @param method HTTP method
 * @param target path and query
 * @param id the client's id of the request
 * @param headers the client's headers that concern the engine too, in their order
 * @param body the body's bytes, never changed
 * @param limitMs when nobody waits for its first token any more, in the front's clock
 */
@SuppressWarnings(
        "ArrayRecordComponent") // The body is handed on as it came, uncopied; never compared.
public record ForwardedRequest(
        String method,
        String target,
        String id,
        List<Header> headers,
        byte[] body,
        double limitMs) {
    /** One header line. */
    public record Header(String name, String value) {}
}
