package larchridge.state;

/** The effect of running a generation more than once. */
public enum Effect {
    /** None: any number of attempts may run, also concurrently. */
    IDEMPOTENT,
    /** None while engines still recognize the idempotency key and drop the repeat. */
    DEDUPLICATED,
    /** The side effect is repeated: once an attempt may have run, no other attempt is allowed. */
    SIDE_EFFECTING
}
