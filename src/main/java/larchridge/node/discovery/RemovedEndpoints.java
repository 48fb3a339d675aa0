package larchridge.node.discovery;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;

/**
 * Remembers the engines that were set to drain or were removed, with the version of the list that
 * did so. An older list, from a replica that lags or from another agent after a new configuration,
 * must not bring one of them back to service. A process that has started anew counts as another
 * engine. Without I/O.
 */
final class RemovedEndpoints {
    private static final int CAPACITY = 4096;

    /** Which list ended an engine, and the start time of the process that it ended. */
    private record Removal(long version, double startMs) {}

    /** By name, the oldest removal first. */
    private final Map<String, Removal> removals = new LinkedHashMap<>();

    /**
     * The entry as it may be used: one that serves by an older list than the one that ended it goes
     * on draining.
     */
    EngineEntry restrict(String name, EngineEntry entry, long version) {
        Removal removal = removals.get(name);
        if (entry.state() != EndpointState.READY || removal == null) {
            return entry;
        }
        if (version < removal.version && entry.startMs() == removal.startMs) {
            return entry.withState(EndpointState.DRAINING);
        }
        removals.remove(name);
        return entry;
    }

    /** Records the engines that served before a list and do not serve after it. */
    void recordRemovals(
            Map<String, EngineEntry> before, Map<String, EngineEntry> after, long version) {
        before.forEach(
                (name, entry) -> {
                    EngineEntry current = after.get(name);
                    boolean serves = current != null && current.state() == EndpointState.READY;
                    if (entry.state() == EndpointState.READY && !serves) {
                        // Removed first, so that it becomes the newest in the map's order.
                        removals.remove(name);
                        removals.put(name, new Removal(version, entry.startMs()));
                    }
                });
        dropOldest();
    }

    private void dropOldest() {
        Iterator<String> oldest = removals.keySet().iterator();
        for (int excess = removals.size() - CAPACITY; excess > 0; excess--) {
            oldest.next();
            oldest.remove();
        }
    }
}
