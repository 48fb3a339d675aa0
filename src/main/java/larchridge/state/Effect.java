package larchridge.state;

/** What running a generation more than once would do. */
public enum Effect {
    /** Nothing: any number of attempts may run, also side by side. */
    IDEMPOTENT,
    /** Nothing, while engines still drop the repeat by its idempotency key. */
    DEDUPLICATED,
    /** The effect again: once an attempt may have run, no other one may. */
    SIDE_EFFECTING
}
