package larchridge.faults;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import larchridge.drill.Seen;
import larchridge.drill.TrafficLog;

/**
 * The read states that the simulated engines hold, by request; a state waits at its reader until it
 * is fetched or released.
 */
final class RigStates {
    private final TrafficLog log;
    private final Map<String, Set<RigEngine>> holders = new HashMap<>();

    /** How many requests wait in writers' queues for a state. */
    private final Map<String, Integer> waiting = new HashMap<>();

    RigStates(TrafficLog log) {
        this.log = log;
    }

    void hold(String id, RigEngine engine) {
        if (holders.computeIfAbsent(id, key -> new HashSet<>()).add(engine)) {
            log.add(Seen.Kind.STATE_HELD, engine.number, id, RigEngine.tag(id), 0, null);
        }
    }

    boolean isHeld(String id) {
        return holders.containsKey(id);
    }

    /** All that is held for a request is fetched, or gone otherwise. */
    void drop(String id) {
        Set<RigEngine> all = holders.remove(id);
        if (all != null) {
            all.forEach(
                    engine ->
                            log.add(
                                    Seen.Kind.STATE_GONE,
                                    engine.number,
                                    id,
                                    RigEngine.tag(id),
                                    0,
                                    null));
        }
    }

    /** An engine has lost its memory. */
    void forget(RigEngine engine) {
        for (String id : Set.copyOf(holders.keySet())) {
            Set<RigEngine> all = holders.get(id);
            if (all.remove(engine)) {
                log.add(Seen.Kind.STATE_GONE, engine.number, id, RigEngine.tag(id), 0, null);
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
