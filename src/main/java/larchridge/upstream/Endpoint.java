package larchridge.upstream;

/**
 * The network address of an engine.
 *
 * @param host host name or address
 * @param port TCP port
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Parses {@code host:port} with a port from 0 to 65535; returns null for invalid text. */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return colon > 0 && port >= 0 && port <= MAX_PORT
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
