package larchridge.node.server;

/**
 * Limits of the HTTP server, derived from the configuration. Times are in milliseconds, sizes in
 * bytes.
 *
 * @param maxConnections maximum number of client connections
 * @param maxBodyBytes maximum size of a body
 * @param maxBufferedBytes maximum heap memory of all requests; beyond it, requests are rejected
 * @param requestPartTimeoutMs time limit for each head and each body to be complete; for the first
 *     head on a connection, counted from the accept
 * @param requestTimeoutMs time limit for a request to be complete: from the accept for the first
 *     one on a connection, from the first byte for others
 * @param idleTimeoutMs time without a request after which a connection is closed
 * @param lingerMs how long a connection that this side has half-closed is still read
 */
public record ServerLimits(
        int maxConnections,
        int maxBodyBytes,
        long maxBufferedBytes,
        double requestPartTimeoutMs,
        double requestTimeoutMs,
        double idleTimeoutMs,
        double lingerMs) {}
