package larchridge.state;

/** A customer with a stated share of the service. */
public final class Account {
    public final String name;
    public final double quotaPerSecond;
    public final Ring arrivals = new Ring(10, 1000);

    public Account(String name, double quotaPerSecond) {
        this.name = name;
        this.quotaPerSecond = quotaPerSecond;
    }
}
