package larchridge.node.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import larchridge.state.LoadReport;

/**
 * Decodes an engine's response to an attempt: the stream of events of an answer, the cached tokens
 * of a completed read, and the load report that comes with either.
 */
final class AttemptResponseDecoder {
    /** {@link #cachedTokens()} of a body that does not tell them. */
    static final int NO_COUNT = -1;

    private static final String LOAD_REPORT_NAME = "Srv-Load";
    private static final String DECLINED_HEADER = "Srv-Declined";
    private static final String DECLINED_VALUE = "1";
    private static final String CACHED_TOKENS_FIELD = "cached_tokens";
    private static final int MAX_EVENT_BYTES = 1 << 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LoadReportReader loadReports;

    /** Null unless the response is an answer. */
    private EventStreamSplitter events;

    /** Null until a part of a completed read's body was received. */
    private BoundedBody readBody;

    private LoadReport loadReport;

    AttemptResponseDecoder(LoadReportReader loadReports) {
        this.loadReports = loadReports;
    }

    /** Whether the engine itself states that it did not run the request. */
    static boolean isDeclined(HttpResponse response) {
        return DECLINED_VALUE.equals(response.headers().get(DECLINED_HEADER));
    }

    /** Reads the load report in the response's headers, and prepares for an answer's events. */
    void responseHeadReceived(HttpResponse response) {
        if (response.status().code() == HttpResponseStatus.OK.code()) {
            events = new EventStreamSplitter(MAX_EVENT_BYTES, LOAD_REPORT_NAME);
        }
        loadReport = loadReports.read(response.headers().get(LOAD_REPORT_NAME));
    }

    /** Takes a part of the body of a completed read; false if it is too long. */
    boolean appendReadBody(ByteBuf content) {
        if (readBody == null) {
            readBody = new BoundedBody();
        }
        return readBody.append(content);
    }

    /** Takes a part of an answer; returns the events that are now complete, or null. */
    byte[] appendEvents(ByteBuf content) {
        return events.feed(content);
    }

    /** Whether the answer can't be decoded any further. */
    boolean isMalformed() {
        return events.isMalformed();
    }

    /** Whether the answer's final event was received, and nothing after it. */
    boolean isStreamComplete() {
        return events.isComplete();
    }

    /** The answer has ended: a load report among its events replaces that of the headers. */
    void streamEnded() {
        if (events.loadReport() != null) {
            loadReport = loadReports.read(events.loadReport());
        }
    }

    /** The prompt tokens that the engine had cached, or {@link #NO_COUNT}. */
    int cachedTokens() {
        try {
            JsonNode count =
                    MAPPER.readTree(readBody == null ? new byte[0] : readBody.toByteArray())
                            .path(CACHED_TOKENS_FIELD);
            return count.isInt() && count.intValue() >= 0 ? count.intValue() : NO_COUNT;
        } catch (IOException e) {
            return NO_COUNT;
        }
    }

    /** The newest load report of the response, or null. */
    LoadReport loadReport() {
        return loadReport;
    }
}
