package larchridge.state;

/** How the list speaks of an engine. */
public enum EndpointState {
    READY,
    DRAINING,
    REMOVED
}
