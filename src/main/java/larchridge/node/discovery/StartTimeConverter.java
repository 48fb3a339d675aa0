package larchridge.node.discovery;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Converts the start times of engines from the list's Unix time to this node's own clock, which
 * never steps. The wall clocks of the node and of the engines may be stepped, by as much as an hour
 * in either direction; an engine that has just started would then count as warm, or a warm one as
 * cold for that time. What the node has observed itself bounds what the wall clock says: an engine
 * that was not on the list when the agent last responded has started since, and none has started in
 * the future. Performs no I/O.
 */
final class StartTimeConverter {
    private static final int CAPACITY = 8192;

    /** A start time as listed, and as converted when it was first seen. */
    private record StartTime(double listedMs, double localMs) {}

    private final LongSupplier wallClockMs;

    /**
     * Entries of removed engines are kept: one that returns with the same start time is not new.
     */
    private final Map<String, StartTime> startTimes =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StartTime> eldest) {
                    return size() > CAPACITY;
                }
            };

    /** When the agent last sent its list or reported no change; negative infinity before that. */
    private double lastListResponseMs = Double.NEGATIVE_INFINITY;

    StartTimeConverter(LongSupplier wallClockMs) {
        this.wallClockMs = wallClockMs;
    }

    /** Returns the start time of an engine in the node's clock; 0 stays 0, which means long ago. */
    double toLocalMs(String name, double listedMs, double nowMs) {
        if (listedMs <= 0) {
            startTimes.remove(name);
            return 0;
        }
        StartTime known = startTimes.get(name);
        if (known == null || known.listedMs != listedMs) {
            double byWallClockMs = nowMs - (wallClockMs.getAsLong() - listedMs);
            startTimes.remove(name);
            known =
                    new StartTime(
                            listedMs, Math.min(nowMs, Math.max(byWallClockMs, lastListResponseMs)));
            startTimes.put(name, known);
        }
        return known.localMs;
    }

    /** Called when the agent has sent its list or reported no change. */
    void listResponseReceived(double nowMs) {
        lastListResponseMs = nowMs;
    }
}
