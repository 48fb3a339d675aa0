package larchridge.state;

/** A customer with a stated share of the service. */
public final class Account {
    public final String name;
    public final double quotaPerSecond;

    /** Generations of the last seconds that were within the share. */
    public final Ring inShare = new Ring(10, 1000);

    public Account(String name, double quotaPerSecond) {
        this.name = name;
        this.quotaPerSecond = quotaPerSecond;
    }
}
