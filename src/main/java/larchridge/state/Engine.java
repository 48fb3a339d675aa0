package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/** A model server and what this front knows of it. */
public final class Engine {
    public final long label;
    public Role role;
    public EndpointState state;
    public String zone;
    public long rack;
    public double units = 1;
    public double memoryTokens;
    public double startMs;

    /** This front's attempts out there, in the order sent. */
    public final List<Attempt> attempts = new ArrayList<>();

    /** Prompt tokens sent there and not yet read. */
    public double unreadTokens;

    /** Tokens of the answers sent there, with their number. */
    public double writeTokens;

    public int streams;

    /** Reads that ended there of late, and the best of their speeds in tokens a millisecond. */
    public final SlidingWindow reads = new SlidingWindow(10, 1000);

    public final SlidingWindow speeds = new SlidingWindow(10, 1000);

    /** How long of late states that were read here took to begin outside of its rack. */
    public final SlidingWindowMean moves = new SlidingWindowMean(3, 1000);

    /** Whether this process has told its load. */
    public boolean reports;

    public double othersTokens;

    /** Prompt tokens of others that waited there by the last report. */
    public double othersUnreadTokens;

    /** Own answers' tokens sent so lately that no report tells of them yet. */
    public final SlidingWindow freshTokens = new SlidingWindow(5, 100);

    public final SlidingWindow freshStreams = new SlidingWindow(5, 100);

    /** Own streams that the last report counted. */
    public double toldStreams;

    public double othersStreams;
    public double probedMs = Double.NEGATIVE_INFINITY;
    public double reportMs = Double.NEGATIVE_INFINITY;

    public double fullUntilMs;
    public double suspectUntilMs;
    public double suspectForMs;
    public boolean onTrial;

    /** Of its late answers, the part that were errors. */
    public double errorShare;

    public double heardMs = Double.NEGATIVE_INFINITY;

    /** Texts sent there before this are no longer kept. */
    public double textsSinceMs = Double.NEGATIVE_INFINITY;

    /** When it was last drawn for while cold, or listed anew. */
    public double drawnMs;

    public Engine(long label) {
        this.label = label;
    }

    /** When the oldest attempt with an unread prompt was sent there; NaN if there is none. */
    public double unreadSinceMs() {
        for (Attempt attempt : attempts) {
            if (attempt.unreadTokens > 0) {
                return attempt.sentMs;
            }
        }
        return Double.NaN;
    }

    public void apply(EndpointUpdate entry) {
        state = entry.state();
        startMs = entry.startMs();
        units = entry.units() > 0 ? entry.units() : 1;
        zone = entry.zone();
        rack = entry.rack();
        role = entry.role();
        memoryTokens = entry.memoryTokens();
    }

    /** Drops what was learned of a process that has ended. */
    public void forgetProcess(double nowMs) {
        textsSinceMs = nowMs;
        reads.clear();
        speeds.clear();
        othersTokens = 0;
        othersStreams = 0;
        toldStreams = 0;
        reports = false;
        reportMs = Double.NEGATIVE_INFINITY;
        fullUntilMs = 0;
        suspectUntilMs = 0;
        suspectForMs = 0;
        onTrial = false;
        errorShare = 0;
        drawnMs = nowMs;
    }
}
