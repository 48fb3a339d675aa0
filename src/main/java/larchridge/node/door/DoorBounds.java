package larchridge.node.door;

/**
 * Bounds of the clients' side, derived from the configuration. Times are milliseconds, sizes bytes.
 *
 * @param connections client connections
 * @param bodyBytes   the longest body
 * @param heldBytes   bodies in memory in all; beyond it clients are throttled
 * @param requestMs   within this a connection's first request, and then each that has begun, is to be there
 * @param idleMs      after so long without a request a connection is closed
 * @param lingerMs    for so long a connection that this side has ended is read on
 */
public record DoorBounds(int connections, int bodyBytes, long heldBytes, double requestMs, double idleMs, double lingerMs) { }
