package larchridge.state;

/** Whether an engine may receive attempts, according to the endpoint list. */
public enum EndpointState {
    /** The engine accepts new attempts. */
    READY,
    /** No new attempts; attempts in flight may finish. */
    DRAINING,
    /** The endpoint list no longer contains the engine. */
    REMOVED
}
