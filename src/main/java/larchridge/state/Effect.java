package larchridge.state;

/** What running a generation more than once would do. */
public enum Effect {
    IDEMPOTENT,
    DEDUPLICATED,
    SIDE_EFFECTING
}
