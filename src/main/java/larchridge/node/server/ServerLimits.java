package larchridge.node.server;

/**
 * Bounds of the clients' side, derived from the configuration. Times are milliseconds, sizes bytes.
 *
 * @param connections client connections
 * @param bodyBytes the longest body
 * @param heldBytes bodies in memory in all; beyond it clients are throttled
 * @param requestMs within this a connection's first request is to begin, and each head, and each
 *     body, to be whole
 * @param wholeRequestMs within this a request is to be whole: the first of a connection from its
 *     start, others from their first byte
 * @param idleMs after so long without a request a connection is closed
 * @param lingerMs for so long a connection that this side has ended is read on
 */
public record ServerLimits(
        int connections,
        int bodyBytes,
        long heldBytes,
        double requestMs,
        double wholeRequestMs,
        double idleMs,
        double lingerMs) {}
