package larchridge.node.discovery;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;

/**
 * Records the engines that were withdrawn, that is, set to drain or removed, with the version of
 * the list that did so. An older list, from a lagging replica or from another agent after a
 * configuration reload, must not return one of them to service. A restarted engine process counts
 * as another engine. Performs no I/O.
 */
final class WithdrawnEndpoints {
    private static final int CAPACITY = 4096;

    /**
     * The version of the list that drained or removed an engine, and the start time of that
     * engine's process.
     */
    private record Withdrawal(long version, double startMs) {}

    /** Keyed by engine name, oldest withdrawal first. */
    private final Map<String, Withdrawal> withdrawals = new LinkedHashMap<>();

    /**
     * Returns the entry to use. If its list is older than the one that drained or removed the
     * engine, a ready engine is returned as draining.
     */
    EngineEntry drainIfOutdated(String name, EngineEntry entry, long version) {
        Withdrawal withdrawal = withdrawals.get(name);
        if (entry.state() != EndpointState.READY || withdrawal == null) {
            return entry;
        }
        if (version < withdrawal.version && entry.startMs() == withdrawal.startMs) {
            return entry.withState(EndpointState.DRAINING);
        }
        withdrawals.remove(name);
        return entry;
    }

    /** Records the engines that were ready before a list and no longer are after it. */
    void recordWithdrawals(
            Map<String, EngineEntry> before, Map<String, EngineEntry> after, long version) {
        before.forEach(
                (name, entry) -> {
                    EngineEntry current = after.get(name);
                    boolean serves = current != null && current.state() == EndpointState.READY;
                    if (entry.state() == EndpointState.READY && !serves) {
                        // Removed first, so that it becomes the newest in insertion order.
                        withdrawals.remove(name);
                        withdrawals.put(name, new Withdrawal(version, entry.startMs()));
                    }
                });
        dropOldest();
    }

    private void dropOldest() {
        Iterator<String> oldest = withdrawals.keySet().iterator();
        for (int excess = withdrawals.size() - CAPACITY; excess > 0; excess--) {
            oldest.next();
            oldest.remove();
        }
    }
}
