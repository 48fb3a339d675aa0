package larchridge.state;

import java.util.List;

/** What a front is told when it starts: what is owed to whom, and what is allowed. Times are milliseconds. */
public final class Terms {
    public long seed;
    public int fronts;
    public int front;
    public String zone;
    public List<Product> products = List.of();
    public List<Account> accounts = List.of();
    public int maxLegs;
    public boolean mayCancel;
    public boolean mayProbe;
    public boolean maySendCopies;
    public boolean mayHold;
    public boolean writersRead;
    public boolean resumes;
    public boolean listIsAsked;
    public boolean reportsWithAnswers;
    public boolean reportsWithProbes;
    /** The longest advice to stay away that a client honours; 0 where there is none. */
    public double comeBackMaxMs;
    public double releaseMs;
    public double coldShare;
    public double coldMs;
    public double tipMultiple;
    public double tipMs;
    public double answerSlackMs;
    public double tickMs;
    public double movePrice;
    public double zonePrice;
    public double wastePrice;
    public double probePrice;
    public double overShareRevenue;
}
