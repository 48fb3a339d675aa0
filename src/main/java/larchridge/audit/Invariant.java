package larchridge.audit;

import java.util.Locale;

/** What must hold at every moment; a violation is counted under its name. */
public enum Invariant {
    /** A request gets one final answer and nothing after it. */
    ONE_FINAL_ANSWER,
    /** It gets that answer, or its first event, in the client's time. */
    ANSWER_IN_TIME,
    /** No attempt is written for a client that has closed. */
    NO_ATTEMPT_AFTER_CLOSE,
    /** No attempt is written for a request that has its answer, or whose answer has begun. */
    NO_ATTEMPT_AFTER_ANSWER,
    /** No two attempts are out at once where copies are not allowed. */
    NO_FORBIDDEN_COPY,
    /** What may have run is not repeated, beyond its window or group. */
    NO_FORBIDDEN_REPEAT,
    /** Nothing is written to an engine past the grace of its drain, or one that no list names. */
    NO_SEND_PAST_GRACE,
    /** A cold engine gets no more from this node than its part of the engine's budget. */
    COLD_BUDGET,
    /** An engine is told no more time than the client has left. */
    TIME_TOLD,
    /** A held state is fetched or released in time. */
    STATE_RELEASED,
    /** The module's and the link's counts of attempts agree. */
    COUNTS_AGREE,
    /** Every id, body, timer and connection that was taken is given back. */
    ALL_GIVEN_BACK;

    /** The name as a tag of a figure. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
