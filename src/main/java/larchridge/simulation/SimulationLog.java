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
 * What was seen in virtual time, in order, and a digest of all of it; at most so much is kept,
 * beyond that only digested.
 */
final class SimulationLog {
    static final int MOST = 20_000_000;

    private final VirtualTimeScheduler world;
    private final List<TrafficEvent> sights = new ArrayList<>();
    private final MessageDigest digest;
    private boolean full;

    SimulationLog(VirtualTimeScheduler world) {
        this.world = world;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    void add(
            TrafficEvent.Kind kind,
            long where,
            String rid,
            String tag,
            double amount,
            String word) {
        TrafficEvent seen =
                new TrafficEvent(world.elapsedMs(), kind, where, rid, tag, amount, word);
        digest.update(seen.toString().getBytes(StandardCharsets.UTF_8));
        full |= sights.size() >= MOST;
        if (!full) {
            sights.add(seen);
        }
    }

    List<TrafficEvent> all() {
        if (full) {
            throw new IllegalStateException("over " + MOST + " sights; play a shorter script");
        }
        return sights;
    }

    String digest() {
        return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
    }
}
