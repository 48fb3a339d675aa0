package larchridge.audit;

/** What the peer of a connection is. */
public enum ConnectionPeer {
    /** A client of this node. */
    CLIENT,
    /** An engine that this node sends requests to. */
    ENGINE
}
