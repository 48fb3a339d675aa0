package larchridge.faultinjection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import larchridge.systemtest.TrafficEvent;
import larchridge.systemtest.TrafficLog;

/**
 * The read states that the simulated engines hold, by request; a state waits at its reader until it
 * is fetched or released.
 */
final class TestReservations {
    private final TrafficLog log;
    private final Map<String, Set<TestEngine>> holders = new HashMap<>();

    /** How many requests wait in writers' queues for a state. */
    private final Map<String, Integer> waiting = new HashMap<>();

    TestReservations(TrafficLog log) {
        this.log = log;
    }

    void hold(String id, TestEngine engine) {
        if (holders.computeIfAbsent(id, key -> new HashSet<>()).add(engine)) {
            log.add(TrafficEvent.Kind.STATE_HELD, engine.number, id, TestEngine.tag(id), 0, null);
        }
    }

    boolean isHeld(String id) {
        return holders.containsKey(id);
    }

    /** All that is held for a request is fetched, or gone otherwise. */
    void drop(String id) {
        Set<TestEngine> all = holders.remove(id);
        if (all != null) {
            all.forEach(
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

    /** An engine has lost its memory. */
    void forget(TestEngine engine) {
        for (String id : Set.copyOf(holders.keySet())) {
            Set<TestEngine> all = holders.get(id);
            if (all.remove(engine)) {
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        engine.number,
                        id,
                        TestEngine.tag(id),
                        0,
                        null);
                if (all.isEmpty()) {
                    holders.remove(id);
                }
            }
        }
    }

    void waits(String id, boolean begins) {
        waiting.merge(id, begins ? 1 : -1, Integer::sum);
        waiting.remove(id, 0);
    }

    /** A release frees what no request in a queue waits for. */
    void release(String id) {
        if (!waiting.containsKey(id)) {
            drop(id);
        }
    }
}
