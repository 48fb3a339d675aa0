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
 * Selects the client's headers that are forwarded to engines: all end-to-end headers, since an
 * engine may read its deduplication key from any of them, and no setting names that header.
 */
final class ForwardedHeaders {
    private static final String CONNECTION = "connection";

    /** Hop-by-hop headers (RFC 9110, 7.6.1), and those that the forwarded message sets itself. */
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

    /** Returns the headers to forward, in their original order. */
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
