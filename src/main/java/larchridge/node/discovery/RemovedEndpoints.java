package larchridge.node.discovery;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;

/**
 * Remembers the engines that were told to drain or to be gone, with the version that told so. An
 * older list, from a replica that lags or from another agent after a new configuration, must not
 * bring one of them back to service. A process that started anew is another one. Without I/O.
 */
final class RemovedEndpoints {
    private static final int MOST = 4096;

    private record Departure(long index, double startMs) {}

    private final Map<String, Departure> departures = new LinkedHashMap<>();

    /**
     * The row as it may be used: one that serves by an older list than the one that told of its
     * leaving drains on.
     */
    EngineEntry keep(String name, EngineEntry row, long index) {
        Departure departure = departures.get(name);
        if (row.state() != EndpointState.READY || departure == null) {
            return row;
        }
        if (index < departure.index && row.startMs() == departure.startMs) {
            return row.withState(EndpointState.DRAINING);
        }
        departures.remove(name);
        return row;
    }

    /** Notes what a list has ended. */
    void note(Map<String, EngineEntry> before, Map<String, EngineEntry> after, long index) {
        before.forEach(
                (name, row) -> {
                    EngineEntry now = after.get(name);
                    if (row.state() == EndpointState.READY
                            && (now == null || now.state() != EndpointState.READY)) {
                        departures.remove(name);
                        departures.put(name, new Departure(index, row.startMs()));
                    }
                });
        Iterator<String> oldest = departures.keySet().iterator();
        for (int over = departures.size() - MOST; over > 0; over--) {
            oldest.next();
            oldest.remove();
        }
    }
}
