package larchridge.state;

/** How the list speaks of an engine. */
public enum Mode {
    READY,
    DRAINING,
    GONE
}
