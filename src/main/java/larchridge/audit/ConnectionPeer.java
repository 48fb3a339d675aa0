package larchridge.audit;

/** The peer of a connection. */
public enum ConnectionPeer {
    /** A client of this node. */
    CLIENT,
    /** An engine that this node sends requests to. */
    ENGINE
}
