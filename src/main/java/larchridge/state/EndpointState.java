package larchridge.state;

/** Whether an engine may get attempts, by the endpoint list. */
public enum EndpointState {
    /** It may. */
    READY,
    /** It may not; what is in flight there may end. */
    DRAINING,
    /** The list does not name it any more. */
    REMOVED
}
