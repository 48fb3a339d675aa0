package larchridge.node.server;

/**
 * Bounds of the clients' side, derived from the configuration. Times are milliseconds, sizes bytes.
 *
 * @param maxConnections client connections
 * @param maxBodyBytes the longest body
 * @param maxBufferedBytes bodies in memory in all; beyond it requests are rejected
 * @param requestPartTimeoutMs within this a connection's first request has to begin, and each head,
 *     and each body, has to be complete
 * @param requestTimeoutMs within this a request has to be complete: the first of a connection from
 *     its accept, others from their first byte
 * @param idleTimeoutMs after so long without a request a connection is closed
 * @param lingerMs for so long a connection that this side has half-closed is still read
 */
public record ServerLimits(
        int maxConnections,
        int maxBodyBytes,
        long maxBufferedBytes,
        double requestPartTimeoutMs,
        double requestTimeoutMs,
        double idleTimeoutMs,
        double lingerMs) {}
