package larchridge.audit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts closed connections by side and reason. */
public final class CloseCounters {
    private final Map<ConnectionSide, Map<CloseReason, Counter>> counters =
            new EnumMap<>(ConnectionSide.class);

    /** Registers a counter for each side and reason. */
    public CloseCounters(MeterRegistry registry) {
        for (ConnectionSide side : ConnectionSide.values()) {
            Map<CloseReason, Counter> byReason = new EnumMap<>(CloseReason.class);
            for (CloseReason reason : CloseReason.values()) {
                byReason.put(
                        reason,
                        Counter.builder("larchridge_connections_closed")
                                .tag("side", side.name().toLowerCase(Locale.ROOT))
                                .tag("reason", reason.tag())
                                .register(registry));
            }
            counters.put(side, byReason);
        }
    }

    void increment(ConnectionSide side, CloseReason reason) {
        counters.get(side).get(reason).increment();
    }
}
