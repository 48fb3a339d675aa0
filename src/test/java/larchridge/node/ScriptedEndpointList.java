package larchridge.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint list as a scripted discovery agent serves it: snapshots immediately, watches after a
 * change.
 */
final class ScriptedEndpointList {
    private static final long WATCH_WAIT_NANOS = 300_000_000L;

    private final List<String> endpoints = new CopyOnWriteArrayList<>();
    private final AtomicInteger version = new AtomicInteger(1);

    /** Adds an endpoint at the end. */
    void add(String endpointJson) {
        endpoints.add(endpointJson);
    }

    /** Adds an endpoint at the beginning. */
    void addFirst(String endpointJson) {
        endpoints.add(0, endpointJson);
    }

    void set(int index, String endpointJson) {
        endpoints.set(index, endpointJson);
    }

    /** Answers the next or the pending watch with the current list. */
    void publishChange() {
        synchronized (version) {
            version.incrementAndGet();
            version.notifyAll();
        }
    }

    /** The current full list. */
    String snapshotJson() {
        return "{\"index\":"
                + version
                + ",\"snapshot\":true,\"endpoints\":["
                + String.join(",", endpoints)
                + "]}";
    }

    /**
     * Responds to a snapshot poll immediately, and to a watch once something has changed or its
     * wait is over.
     */
    ScriptedResponse respond(ReceivedRequest request) {
        int after =
                request.target().contains("after=")
                        ? Integer.parseInt(request.target().replaceAll(".*after=(\\d+).*", "$1"))
                        : 0;
        long untilNanos = System.nanoTime() + WATCH_WAIT_NANOS;
        synchronized (version) {
            while (version.get() <= after && System.nanoTime() < untilNanos) {
                try {
                    version.wait(50);
                } catch (InterruptedException e) {
                    return new ScriptedResponse(null, false);
                }
            }
        }
        return new ScriptedResponse(WireMessages.response("200 OK", snapshotJson()), true);
    }

    /** One endpoint of a list. */
    static String endpointJson(String name, int port, String type, String status, long since) {
        return "{\"name\":\""
                + name
                + "\",\"address\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\"a\",\"type\":\""
                + type
                + "\",\"group\":1,\"status\":\""
                + status
                + "\",\"weight\":1.0,\"since_ms\":"
                + since
                + "}";
    }
}
