package larchridge.node.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;

/**
 * The current endpoint list and its version. Start times are converted to the node's own clock, and
 * engines that an update has drained or removed are not returned to service by an older one.
 * Performs no I/O.
 */
final class EndpointCatalog {
    private final Map<String, EngineEntry> entries = new LinkedHashMap<>();
    private final StartTimeConverter startTimes;
    private final WithdrawnEndpoints withdrawnEndpoints = new WithdrawnEndpoints();
    private long version;

    EndpointCatalog(LongSupplier wallClockMs) {
        startTimes = new StartTimeConverter(wallClockMs);
    }

    /** The version of the latest update; 0 before the first. */
    long version() {
        return version;
    }

    /** All engines, in the order in which they were first listed. */
    List<EngineEntry> entries() {
        return new ArrayList<>(entries.values());
    }

    /**
     * Applies an update; returns false if it changes nothing.
     *
     * @param listReceived whether the agent has sent this list or an earlier one, so that this one
     *     is up to date now
     */
    boolean apply(EndpointListUpdate update, double nowMs, boolean listReceived) {
        Map<String, EngineEntry> before = new LinkedHashMap<>(entries);
        if (update.snapshot()) {
            entries.clear();
        }
        update.entries().forEach((name, entry) -> put(name, entry, update.version(), nowMs));
        withdrawnEndpoints.recordWithdrawals(before, entries, update.version());
        if (listReceived) {
            startTimes.listResponseReceived(nowMs);
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
                name,
                withdrawnEndpoints.drainIfOutdated(
                        name, entry.withStartMs(startMs), updateVersion));
    }
}
