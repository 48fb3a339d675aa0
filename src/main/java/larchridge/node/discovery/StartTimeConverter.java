package larchridge.node.discovery;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Turns the start times of engines, told in Unix time, into this node's own clock, which never
 * steps. The wall clocks of the node and of the engines may be stepped, forward or back, by an
 * hour; an engine that has just started would then be taken for a warm one, or a warm one for cold
 * for an hour. What the node has seen itself bounds what the wall clock says: an engine that was
 * not on the list confirmed last has started since, and none has started in the future. Without
 * I/O.
 */
final class StartTimeConverter {
    private static final int MOST = 8192;

    private record Start(double toldMs, double localMs) {}

    private final LongSupplier wallClockMs;

    /**
     * Engines that have left stay known, so that one that comes back without a start is no new one.
     */
    private final Map<String, Start> starts =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
                    return size() > MOST;
                }
            };

    /**
     * When the agent last told its list, or that nothing has changed; negative infinity before it
     * has.
     */
    private double confirmedMs = Double.NEGATIVE_INFINITY;

    StartTimeConverter(LongSupplier wallClockMs) {
        this.wallClockMs = wallClockMs;
    }

    /** The start of an engine in the node's clock; 0 stays 0, which means long ago. */
    double of(String name, double toldMs, double nowMs) {
        if (toldMs <= 0) {
            starts.remove(name);
            return 0;
        }
        Start known = starts.get(name);
        if (known == null || known.toldMs != toldMs) {
            double byWallClock = nowMs - (wallClockMs.getAsLong() - toldMs);
            starts.remove(name);
            known = new Start(toldMs, Math.min(nowMs, Math.max(byWallClock, confirmedMs)));
            starts.put(name, known);
        }
        return known.localMs;
    }

    /** The agent has told a list, or that nothing has changed. */
    void confirmed(double nowMs) {
        confirmedMs = nowMs;
    }
}
