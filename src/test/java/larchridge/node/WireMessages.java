package larchridge.node;

import java.util.concurrent.atomic.AtomicInteger;

/** Requests and responses in the platform's wire format. */
final class WireMessages {
    /** The head of an engine's event stream. */
    static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    static final String LAST_EVENTS =
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

    /** A complete event stream of one event. */
    static final String SHORT_STREAM = STREAM_HEAD + chunk(EVENT + LAST_EVENTS) + "0\r\n\r\n";

    /** A health check of the node. */
    static final String HEALTH_REQUEST = "GET /up HTTP/1.1\r\nHost: n\r\n\r\n";

    private static final AtomicInteger IDS = new AtomicInteger(0x1000);

    private WireMessages() {}

    /** A response with a body of known length. */
    static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A response by which an engine proves that it has not run the request. */
    static String declined(String status) {
        return "HTTP/1.1 " + status + "\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** The response to a read request, with the number of prompt tokens that were found cached. */
    static String readResponse(int cachedTokens) {
        return response("202 Accepted", "{\"cached_tokens\":" + cachedTokens + "}");
    }

    /** One chunk of a chunked body. */
    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns a request id that is unique in this process. */
    static String newRequestId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** A valid request with a deadline of 4 s and these additional headers. */
    static String generationRequest(String id, String headers) {
        return generationRequest(id, 4000, headers);
    }

    /** A valid request with these additional headers. */
    static String generationRequest(String id, int deadlineMs, String headers) {
        String body = "{\"model\":\"consulta\",\"stream\":true,\"messages\":[]}";
        return "POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: "
                + id
                + "\r\nReq-Kind: consulta\r\nReq-Key: k1\r\nReq-Deadline-Ms: "
                + deadlineMs
                + "\r\nReq-Extra: prefix=p1,prompt_len=400,prefix_len=100,max_out=50\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
