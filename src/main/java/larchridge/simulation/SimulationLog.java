package larchridge.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import larchridge.router.VirtualTimeScheduler;
import larchridge.systemtest.TrafficEvent;

/**
 * Records the events of a simulation in order, with a digest of all of them. Once {@link
 * #MAX_EVENTS} events are recorded, further ones only enter the digest, and {@link #events} fails.
 */
final class SimulationLog {
    static final int MAX_EVENTS = 20_000_000;

    private final VirtualTimeScheduler scheduler;
    private final List<TrafficEvent> events = new ArrayList<>();
    private final MessageDigest digest;
    private boolean full;

    SimulationLog(VirtualTimeScheduler scheduler) {
        this.scheduler = scheduler;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }

    void add(
            TrafficEvent.Kind kind,
            long where,
            String rid,
            String tag,
            double amount,
            String word) {
        TrafficEvent event =
                new TrafficEvent(scheduler.elapsedMs(), kind, where, rid, tag, amount, word);
        digest.update(event.toString().getBytes(StandardCharsets.UTF_8));
        full |= events.size() >= MAX_EVENTS;
        if (!full) {
            events.add(event);
        }
    }

    List<TrafficEvent> events() {
        if (full) {
            throw new IllegalStateException(
                    "more than " + MAX_EVENTS + " events; use a shorter script");
        }
        return events;
    }

    String digest() {
        return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
    }
}
