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
 * The events at both ends of every socket, in order, timed by one monotonic clock. Holds at most
 * {@value #MAX_EVENTS} events; a run that exceeds this is not checked, because an incomplete log
 * proves nothing.
 */
public final class TrafficLog implements TrafficRecorder {
    static final int MAX_EVENTS = 20_000_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private volatile long startNanos = System.nanoTime();
    private final List<TrafficEvent> events = new ArrayList<>();
    private boolean full;

    /** Sets the script's time to 0; earlier events get negative times. */
    synchronized void restartClock() {
        double elapsedMs = nowMs();
        startNanos = System.nanoTime();
        events.replaceAll(
                event ->
                        new TrafficEvent(
                                event.ms() - elapsedMs,
                                event.kind(),
                                event.where(),
                                event.rid(),
                                event.tag(),
                                event.amount(),
                                event.word()));
    }

    public double nowMs() {
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
        if (events.size() >= MAX_EVENTS) {
            full = true;
            return;
        }
        events.add(new TrafficEvent(nowMs(), kind, where, rid, tag, amount, word));
    }

    /** Returns all events so far. */
    public synchronized List<TrafficEvent> events() {
        if (full) {
            throw new IllegalStateException(
                    "the traffic log is full at " + MAX_EVENTS + " events; run a shorter script");
        }
        return List.copyOf(events);
    }

    /** Writes events as JSON lines. */
    public static void write(List<TrafficEvent> events, Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (TrafficEvent event : events) {
                out.write(MAPPER.writeValueAsString(event));
                out.newLine();
            }
        }
    }
}
