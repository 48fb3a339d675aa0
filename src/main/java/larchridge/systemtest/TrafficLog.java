package larchridge.systemtest;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import larchridge.simulatedengine.TrafficRecorder;

/**
 * What both ends of every socket saw, in order, by one monotonic clock. At most {@value #MOST}
 * sights; a run that has more is not judged, since a log with holes proves nothing.
 */
public final class TrafficLog implements TrafficRecorder {
    static final int MOST = 20_000_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private volatile long startNanos = System.nanoTime();
    private final List<TrafficEvent> sights = new ArrayList<>();
    private boolean full;

    /** The script's time begins now; what was seen before has times under 0. */
    synchronized void begin() {
        double before = now();
        startNanos = System.nanoTime();
        sights.replaceAll(
                seen ->
                        new TrafficEvent(
                                seen.ms() - before,
                                seen.kind(),
                                seen.where(),
                                seen.rid(),
                                seen.tag(),
                                seen.amount(),
                                seen.word()));
    }

    public double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    @Override
    public void recordEvent(Event event, long engine, String rid, String tag, double amount) {
        add(TrafficEvent.Kind.valueOf(event.name()), engine, rid, tag, amount, null);
    }

    public synchronized void add(
            TrafficEvent.Kind kind,
            long where,
            String rid,
            String tag,
            double amount,
            String word) {
        if (sights.size() >= MOST) {
            full = true;
            return;
        }
        sights.add(new TrafficEvent(now(), kind, where, rid, tag, amount, word));
    }

    /** All sights so far. */
    public synchronized List<TrafficEvent> all() {
        if (full) {
            throw new IllegalStateException(
                    "the traffic log is full at " + MOST + " sights; play a shorter script");
        }
        return List.copyOf(sights);
    }

    /** Writes sights as JSON lines. */
    public static void write(List<TrafficEvent> sights, Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (TrafficEvent seen : sights) {
                out.write(MAPPER.writeValueAsString(seen));
                out.newLine();
            }
        }
    }
}
