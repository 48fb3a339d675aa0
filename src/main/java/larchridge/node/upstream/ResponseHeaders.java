package larchridge.node.upstream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * The headers of an engine's response that this node or Netty's decoder evaluates; all others are
 * dropped. Guards against: a head of short lines occupies far more memory than its length in bytes,
 * and engines that send such heads and then stop would exhaust the heap.
 */
final class ResponseHeaders extends DefaultHttpHeaders {
    private static final List<AsciiString> KEPT_NAMES =
            List.of(
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.SEC_WEBSOCKET_ACCEPT,
                    AsciiString.of(AttemptResponseDecoder.LOAD_REPORT_NAME),
                    AsciiString.of(AttemptResponseDecoder.DECLINED_HEADER));

    /** A response that repeats the kept headers more often is malformed. */
    private static final int MAX_KEPT_HEADERS = 32;

    private int keptHeaders;

    /** Creates the headers of responses. */
    static final class Factory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new ResponseHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (!isKept(name)) {
            return this;
        }
        if (++keptHeaders > MAX_KEPT_HEADERS) {
            throw new TooLongHttpHeaderException(
                    "over " + MAX_KEPT_HEADERS + " headers that may be given once");
        }
        return super.add(name, value);
    }

    private static boolean isKept(CharSequence name) {
        for (AsciiString kept : KEPT_NAMES) {
            if (kept.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
