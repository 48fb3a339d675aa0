package larchridge.audit;

import java.util.Locale;

/** What must hold at every moment; a violation is counted under its name. */
public enum Invariant {
    /** A request gets one final answer and nothing after it. */
    ONE_FINAL_ANSWER,
    /** It gets that answer, or its first event, before the client's deadline. */
    ANSWERED_BY_DEADLINE,
    /** No attempt is written for a client that has closed. */
    NO_ATTEMPT_AFTER_CLOSE,
    /** No attempt is written for a request that has its answer, or whose answer has started. */
    NO_ATTEMPT_AFTER_ANSWER,
    /** No two attempts are in flight at once where hedging is not allowed. */
    NO_FORBIDDEN_HEDGE,
    /** What may have run is not retried beyond its deduplication window or scope. */
    NO_FORBIDDEN_RETRY,
    /** Nothing is written to an engine past its drain grace, or to one that no list names. */
    NO_SEND_PAST_DRAIN_GRACE,
    /** A warming engine gets no more from this node than its part of the engine's budget. */
    SLOW_START_BUDGET,
    /** An attempt announces no more time than the client has left. */
    DEADLINE_PROPAGATED,
    /** A held state is fetched or released in time. */
    STATE_RELEASED,
    /** The policy's and the upstream client's counts of attempts agree. */
    ATTEMPT_COUNTS_AGREE,
    /** Every id, body, timer and connection that was taken is released. */
    RESOURCES_RELEASED;

    /** The name as the tag of the counter. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
