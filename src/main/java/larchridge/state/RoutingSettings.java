package larchridge.state;

/**
 * What a front is told when it starts: what is owed to whom, and what is allowed. Times are
 * milliseconds.
 */
public final class RoutingSettings {
    public long seed;
    public int fronts;
    public String zone;
    public int maxAttempts;
    public boolean mayCancel;
    public boolean mayProbe;
    public boolean maySendCopies;
    public boolean writersRead;
    public boolean listIsAsked;
    public boolean reportsWithAnswers;
    public boolean reportsWithProbes;

    /** The longest advice to stay away that a client honours; 0 where there is none. */
    public double comeBackMaxMs;

    public double coldShare;
    public double coldMs;
    public double tipMultiple;
    public double tipMs;
    public double overShareRevenue;

    public RoutingSettings copy() {
        RoutingSettings copy = new RoutingSettings();
        copy.seed = seed;
        copy.fronts = fronts;
        copy.zone = zone;
        copy.maxAttempts = maxAttempts;
        copy.mayCancel = mayCancel;
        copy.mayProbe = mayProbe;
        copy.maySendCopies = maySendCopies;
        copy.writersRead = writersRead;
        copy.listIsAsked = listIsAsked;
        copy.reportsWithAnswers = reportsWithAnswers;
        copy.reportsWithProbes = reportsWithProbes;
        copy.comeBackMaxMs = comeBackMaxMs;
        copy.coldShare = coldShare;
        copy.coldMs = coldMs;
        copy.tipMultiple = tipMultiple;
        copy.tipMs = tipMs;
        copy.overShareRevenue = overShareRevenue;
        return copy;
    }
}
