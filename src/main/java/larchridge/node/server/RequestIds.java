package larchridge.node.server;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** The ids of requests in flight and of those that ended most recently; none may be reused. */
final class RequestIds {
    private static final int MAX_ENDED_IDS = 4096;

    private final Set<String> inFlight = new HashSet<>();

    /** In the order in which they ended. */
    private final Set<String> ended = new LinkedHashSet<>();

    /** Acquires an id; returns false if a request in flight or a recently ended one has it. */
    boolean tryAcquire(String id) {
        return !ended.contains(id) && inFlight.add(id);
    }

    /** Records that the request with this id has ended. */
    void markEnded(String id) {
        inFlight.remove(id);
        ended.add(id);
        if (ended.size() > MAX_ENDED_IDS) {
            ended.remove(ended.iterator().next());
        }
    }

    int inFlightCount() {
        return inFlight.size();
    }
}
