package review2;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An engine as the protocol page tells of it: a reader answers 202 and holds the state, a writer fetches it and streams, a
 * release frees what is held for a request, probes are answered with a load report.
 */
class StandInEngine extends StandInServer {
    /** The reader that holds the state of a request, by request id; shared by all engines of a case. */
    static final Map<String, String> HELD = new ConcurrentHashMap<>();

    final String name;
    final boolean reader;

    /** How long a prompt is read, and the time between two events of an answer. */
    double readMs = 4;

    double eventMs = 10;
    int events = 3;

    StandInEngine(String name, boolean reader) throws IOException {
        super(0);
        this.name = name;
        this.reader = reader;
    }

    String entry(String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address() + "\",\"zone\":\"a\",\"type\":\""
                + (reader ? "lector" : "redactor") + "\",\"group\":1,\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":0}";
    }

    @Override
    void answer(Message request, Link link) throws IOException {
        String id = request.header("req-id");
        if (request.method().equals("GET")) {
            String report = "inflight=0,queue=0,x0=0.01,x1=0";
            link.send("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
        } else if (request.method().equals("DELETE")) {
            String freed = request.target().substring(request.target().lastIndexOf('/') + 1);
            HELD.remove(freed);
            Kit.log(name + " told to release " + freed);
            link.send("HTTP/1.1 204 No Content\r\n\r\n");
        } else if (id == null) {
            link.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        } else {
            Kit.log(name + " got " + id + " with " + request.header("req-deadline-ms") + " ms");
            received(request, id);
            if (reader) {
                read(request, id, link);
            } else {
                write(request, id, link);
            }
        }
    }

    /** Called when the last byte of an attempt has come. */
    void received(Message request, String id) {}

    void read(Message request, String id, Link link) throws IOException {
        Kit.sleep(readMs);
        HELD.put(id, name);
        String body = "{\"cached_tokens\":0}";
        link.send("HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    void write(Message request, String id, Link link) throws IOException {
        if (HELD.remove(id) == null) {
            link.send("HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        Kit.sleep(eventMs);
        stream(id, link);
    }

    void stream(String id, Link link) throws IOException {
        link.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < events; i++) {
            if (i > 0) {
                Kit.sleep(eventMs);
            }
            link.sendChunk(event(id, i));
        }
        link.sendChunk(lastEvents());
        link.send("0\r\n\r\n");
    }

    static String event(String id, int i) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"answer to " + id + ", part " + i
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    static String lastEvents() {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\".\"},\"finish_reason\":\"stop\"}]}\n\n"
                + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":50,\"completion_tokens\":8,"
                + "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
    }
}
