package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/** A model server and what this front knows of it. */
public final class Engine {
    public final long label;
    public Role role;
    public Mode mode;
    public String zone;
    public long rack;
    public double units = 1;
    public double memoryToks;
    public double startMs;

    /** This front's legs out there, in the order sent. */
    public final List<Leg> legs = new ArrayList<>();
    /** Prompt tokens sent there and not yet read. */
    public double unreadToks;
    /** Tokens of the answers sent there, with their number. */
    public double writeToks;
    public int streams;

    public final Ring readToks = new Ring(12, 500);
    public final Ring busyMs = new Ring(12, 500);
    public double busyMarkMs;

    public Report report;
    public double reportMs = Double.NEGATIVE_INFINITY;
    public double othersToks;
    public double othersStreams;
    public double probedMs = Double.NEGATIVE_INFINITY;

    public double fullUntilMs;
    public double suspectUntilMs;
    public double suspectForMs;
    public boolean onTrial;
    public double heardMs = Double.NEGATIVE_INFINITY;

    /** Sends of the last seconds, weighed by work; the rate that cold engines are measured against. */
    public final Ring sends = new Ring(10, 1000);
    public double coldNextMs;

    public Engine(long label) {
        this.label = label;
    }
}
