package larchridge.node.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import larchridge.node.transport.MemoryBudget;
import larchridge.state.LoadReport;

/**
 * Decodes an engine's response to an attempt: the event stream of an answer, the cached token count
 * of a completed read, and the load report in either.
 */
final class AttemptResponseDecoder {
    /** Value of {@link #cachedTokens()} for a body without a valid count. */
    static final int NO_COUNT = -1;

    /** The header, or the comment in a stream, with a load report. */
    static final String LOAD_REPORT_NAME = "Srv-Load";

    /** The header with which an engine states that it did not run the request. */
    static final String DECLINED_HEADER = "Srv-Declined";

    private static final String DECLINED_VALUE = "1";
    private static final String CACHED_TOKENS_FIELD = "cached_tokens";
    private static final int MAX_EVENT_BYTES = 1 << 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ConfiguredLoadReportParser loadReportParser;
    private final MemoryBudget eventMemory;

    /** Null unless the response is a streamed answer. */
    private EventStreamSplitter events;

    /** Null until body bytes of a completed read have been received. */
    private BoundedBody completedReadBody;

    private LoadReport loadReport;

    AttemptResponseDecoder(ConfiguredLoadReportParser loadReportParser, MemoryBudget eventMemory) {
        this.loadReportParser = loadReportParser;
        this.eventMemory = eventMemory;
    }

    /** Whether the engine states that it did not run the request. */
    static boolean isDeclined(HttpResponse response) {
        return DECLINED_VALUE.equals(response.headers().get(DECLINED_HEADER));
    }

    /** Reads the load report in the headers and prepares to decode the events of an answer. */
    void responseHeadReceived(HttpResponse response) {
        if (response.status().code() == HttpResponseStatus.OK.code()) {
            events = new EventStreamSplitter(MAX_EVENT_BYTES, LOAD_REPORT_NAME, eventMemory);
        }
        loadReport = loadReportParser.parse(response.headers().get(LOAD_REPORT_NAME));
    }

    /** Appends body bytes of a completed read; returns false if the body is too long. */
    boolean appendCompletedReadBody(ByteBuf content) {
        if (completedReadBody == null) {
            completedReadBody = new BoundedBody();
        }
        return completedReadBody.append(content);
    }

    /** Appends body bytes of an answer; returns the events that are now complete, or null. */
    byte[] appendEvents(ByteBuf content) {
        return events.feed(content);
    }

    /** Whether the event stream is malformed. */
    boolean isMalformed() {
        return events.isMalformed();
    }

    /** Whether the final event of the answer was received, and nothing after it but comments. */
    boolean isStreamComplete() {
        return events.isComplete();
    }

    /**
     * Called when the stream has ended; a load report in its comments replaces the one from the
     * headers.
     */
    void streamEnded() {
        if (events.loadReport() != null) {
            loadReport = loadReportParser.parse(events.loadReport());
        }
    }

    /** Releases the memory of the response; what is received from now on is ignored. */
    void release() {
        if (events != null) {
            events.release();
        }
    }

    /** Returns the number of prompt tokens that the engine had cached, or {@link #NO_COUNT}. */
    int cachedTokens() {
        try {
            JsonNode count =
                    MAPPER.readTree(
                                    completedReadBody == null
                                            ? new byte[0]
                                            : completedReadBody.toByteArray())
                            .path(CACHED_TOKENS_FIELD);
            return count.isInt() && count.intValue() >= 0 ? count.intValue() : NO_COUNT;
        } catch (IOException e) {
            return NO_COUNT;
        }
    }

    /** Returns the latest load report in the response, or null. */
    LoadReport loadReport() {
        return loadReport;
    }
}
