package larchridge.upstream;

/** Where an engine listens. */
public record Endpoint(String host, int port) {
    /**
     * The place that a text such as {@code host:8443} names, port 0 to 65535; null if it names
     * none.
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return colon > 0 && port >= 0 && port < 65536
                    ? new Endpoint(text.substring(0, colon), port)
                    : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
