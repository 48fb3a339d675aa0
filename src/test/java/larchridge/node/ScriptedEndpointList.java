package larchridge.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint list as a scripted discovery agent serves it: snapshots at once, watches on change.
 */
final class ScriptedEndpointList {
    private static final long WATCH_WAIT_NANOS = 300_000_000L;

    private final List<String> endpoints = new CopyOnWriteArrayList<>();
    private final AtomicInteger version = new AtomicInteger(1);

    /** Adds an endpoint at the end. */
    void add(String endpointJson) {
        endpoints.add(endpointJson);
    }

    /** Adds an endpoint at the front. */
    void addFirst(String endpointJson) {
        endpoints.add(0, endpointJson);
    }

    /** Replaces an endpoint. */
    void set(int index, String endpointJson) {
        endpoints.set(index, endpointJson);
    }

    /** The next watch, or one that waits, is answered with the list as it is now. */
    void publishChange() {
        synchronized (version) {
            version.incrementAndGet();
            version.notifyAll();
        }
    }

    /** The full list as it is now. */
    String snapshotJson() {
        return "{\"index\":"
                + version
                + ",\"snapshot\":true,\"endpoints\":["
                + String.join(",", endpoints)
                + "]}";
    }

    /** Answers a snapshot at once, and a watch once something has changed or its wait is over. */
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
