package larchridge.enginelink;

/** Where an engine listens. */
public record Spot(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
