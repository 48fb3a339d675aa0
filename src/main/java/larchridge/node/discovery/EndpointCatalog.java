package larchridge.node.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;

/**
 * The engines as of the newest update and the version of that update. Start times are in the node's
 * own clock, and engines that an update has ended are not brought back by an older one. Without
 * I/O.
 */
final class EndpointCatalog {
    private final Map<String, EngineEntry> entries = new LinkedHashMap<>();
    private final StartTimeConverter startTimes;
    private final RemovedEndpoints removedEndpoints = new RemovedEndpoints();
    private long version;

    EndpointCatalog(LongSupplier wallClockMs) {
        startTimes = new StartTimeConverter(wallClockMs);
    }

    /** The version of the newest update; 0 before the first. */
    long version() {
        return version;
    }

    /** All engines, in the order in which they were first listed. */
    List<EngineEntry> entries() {
        return new ArrayList<>(entries.values());
    }

    /**
     * Applies an update; returns false if it has changed nothing.
     *
     * @param listReceived whether the agent has answered since the start, so that the list counts as
     *     confirmed now
     */
    boolean apply(EndpointListUpdate update, double nowMs, boolean listReceived) {
        Map<String, EngineEntry> before = new LinkedHashMap<>(entries);
        if (update.snapshot()) {
            entries.clear();
        }
        update.entries().forEach((name, entry) -> put(name, entry, update.version(), nowMs));
        removedEndpoints.recordRemovals(before, entries, update.version());
        if (listReceived) {
            startTimes.listConfirmed(nowMs);
        }
        version = update.version();
        return update.snapshot() || !update.entries().isEmpty();
    }

    private void put(String name, EngineEntry entry, long updateVersion, double nowMs) {
        if (entry.state() == EndpointState.REMOVED) {
            entries.remove(name);
            return;
        }
        double startMs = startTimes.toLocalMs(name, entry.startMs(), nowMs);
        entries.put(
                name, removedEndpoints.restrict(name, entry.withStartMs(startMs), updateVersion));
    }
}
