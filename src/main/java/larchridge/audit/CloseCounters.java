package larchridge.audit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts closed connections by peer and reason. */
public final class CloseCounters {
    private final Map<ConnectionPeer, Map<CloseReason, Counter>> counters =
            new EnumMap<>(ConnectionPeer.class);

    /** Registers a counter for each peer and reason. */
    public CloseCounters(MeterRegistry registry) {
        for (ConnectionPeer peer : ConnectionPeer.values()) {
            Map<CloseReason, Counter> byReason = new EnumMap<>(CloseReason.class);
            for (CloseReason reason : CloseReason.values()) {
                byReason.put(
                        reason,
                        Counter.builder("larchridge_connections_closed")
                                .tag("side", peer.name().toLowerCase(Locale.ROOT))
                                .tag("reason", reason.tag())
                                .register(registry));
            }
            counters.put(peer, byReason);
        }
    }

    void increment(ConnectionPeer peer, CloseReason reason) {
        counters.get(peer).get(reason).increment();
    }
}
