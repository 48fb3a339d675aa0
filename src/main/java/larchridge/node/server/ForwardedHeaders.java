package larchridge.node.server;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import larchridge.upstream.ForwardedRequest;

/**
 * Which of a client's headers are forwarded to engines: all that are end to end. An engine may
 * deduplicate by a key that the client sent in a header whose name no setting gives.
 */
final class ForwardedHeaders {
    private static final String CONNECTION = "connection";

    /**
     * Hop-by-hop headers (RFC 9110, 7.6.1), and those that the forwarded message states for itself.
     */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    CONNECTION,
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "host",
                    "content-length");

    private ForwardedHeaders() {}

    /** The headers that are forwarded, in their order. */
    static List<ForwardedRequest.Header> of(HttpHeaders headers) {
        Set<String> dropped = new HashSet<>(NOT_FORWARDED);
        for (String value : headers.getAll(CONNECTION)) {
            for (String name : value.split(",")) {
                dropped.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        List<ForwardedRequest.Header> forwarded = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                forwarded.add(new ForwardedRequest.Header(header.getKey(), header.getValue()));
            }
        }
        return forwarded;
    }
}
