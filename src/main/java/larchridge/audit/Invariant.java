package larchridge.audit;

import java.util.Locale;

/**
 * The invariants that are checked at run time; a violation is counted under the name of its
 * invariant.
 */
public enum Invariant {
    /** A request gets exactly one final response, and nothing after it. */
    ONE_FINAL_ANSWER,
    /**
     * The final response, or the first event of the response, is sent before the client's deadline.
     */
    ANSWERED_BY_DEADLINE,
    /** No attempt is sent for a client that has disconnected. */
    NO_ATTEMPT_AFTER_CLOSE,
    /** No attempt is sent for a request whose response has started or is complete. */
    NO_ATTEMPT_AFTER_ANSWER,
    /** No two attempts are in flight at once unless hedging is allowed. */
    NO_FORBIDDEN_HEDGE,
    /** An attempt that may have run is not retried outside its deduplication window or scope. */
    NO_FORBIDDEN_RETRY,
    /**
     * No attempt is sent to an engine after its drain grace period, or to one that is not listed.
     */
    NO_SEND_PAST_DRAIN_GRACE,
    /**
     * A warming engine gets no more attempts from this node than the node's share of the engine's
     * budget.
     */
    SLOW_START_BUDGET,
    /**
     * An attempt sends the engine a timeout no longer than the time left until the client's
     * deadline.
     */
    DEADLINE_PROPAGATED,
    /** A held read state is fetched or released in time. */
    STATE_RELEASED,
    /** The routing policy and the upstream client count the same number of attempts. */
    ATTEMPT_COUNTS_AGREE,
    /**
     * Nothing is left of a request long after its final response, nor of any request at shutdown:
     * no attempt, read state, id or request body.
     */
    RESOURCES_RELEASED;

    /** The name as a metric tag. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
