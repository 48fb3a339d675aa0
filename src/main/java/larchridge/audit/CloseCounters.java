package larchridge.audit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts the ends of connections by side and reason. */
public final class CloseCounters {
    private final Map<ConnectionSide, Map<CloseReason, Counter>> counters =
            new EnumMap<>(ConnectionSide.class);

    public CloseCounters(MeterRegistry registry) {
        for (ConnectionSide side : ConnectionSide.values()) {
            Map<CloseReason, Counter> ofSide = new EnumMap<>(CloseReason.class);
            for (CloseReason reason : CloseReason.values()) {
                ofSide.put(
                        reason,
                        Counter.builder("larchridge_connections_closed")
                                .tag("side", side.name().toLowerCase(Locale.ROOT))
                                .tag("reason", reason.tag())
                                .register(registry));
            }
            counters.put(side, ofSide);
        }
    }

    void closed(ConnectionSide side, CloseReason reason) {
        counters.get(side).get(reason).increment();
    }
}
