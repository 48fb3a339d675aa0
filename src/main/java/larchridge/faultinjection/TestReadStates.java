package larchridge.faultinjection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import larchridge.systemtest.TrafficEvent;
import larchridge.systemtest.TrafficLog;

/**
 * The read states that the simulated engines hold, by request. A reader holds a state until it is
 * fetched or released.
 */
final class TestReadStates {
    private final TrafficLog log;
    private final Map<String, Set<TestEngine>> holdersByRequest = new HashMap<>();

    /** Number of requests in the queues of writers that need the state. */
    private final Map<String, Integer> queuedWriters = new HashMap<>();

    TestReadStates(TrafficLog log) {
        this.log = log;
    }

    void hold(String id, TestEngine engine) {
        if (holdersByRequest.computeIfAbsent(id, key -> new HashSet<>()).add(engine)) {
            log.add(TrafficEvent.Kind.STATE_HELD, engine.number, id, TestEngine.tag(id), 0, null);
        }
    }

    boolean isHeld(String id) {
        return holdersByRequest.containsKey(id);
    }

    /** Drops all states of a request, after they were fetched or lost. */
    void drop(String id) {
        Set<TestEngine> engines = holdersByRequest.remove(id);
        if (engines != null) {
            engines.forEach(
                    engine ->
                            log.add(
                                    TrafficEvent.Kind.STATE_GONE,
                                    engine.number,
                                    id,
                                    TestEngine.tag(id),
                                    0,
                                    null));
        }
    }

    /** Drops all states that an engine holds, since it has restarted. */
    void dropHeldBy(TestEngine engine) {
        for (String id : Set.copyOf(holdersByRequest.keySet())) {
            Set<TestEngine> engines = holdersByRequest.get(id);
            if (engines.remove(engine)) {
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        engine.number,
                        id,
                        TestEngine.tag(id),
                        0,
                        null);
                if (engines.isEmpty()) {
                    holdersByRequest.remove(id);
                }
            }
        }
    }

    void updateQueued(String id, boolean added) {
        queuedWriters.merge(id, added ? 1 : -1, Integer::sum);
        queuedWriters.remove(id, 0);
    }

    /** Releases the states of a request unless a queued request still needs them. */
    void release(String id) {
        if (!queuedWriters.containsKey(id)) {
            drop(id);
        }
    }
}
