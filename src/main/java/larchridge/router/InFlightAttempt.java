package larchridge.router;

import larchridge.state.Attempt;
import larchridge.upstream.Endpoint;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;

/**
 * The router's side of one attempt: its endpoint, the state it holds there, and the handle to stop
 * it. An attempt is sent, completes its read if it is one, and ends; the state of a read is held at
 * its reader from the send until it is fetched or released.
 */
final class InFlightAttempt {
    private final Attempt policyAttempt;
    private final Endpoint endpoint;
    private final String attemptId;
    private final InFlightAttempt stateSource;
    private UpstreamClient.AttemptHandle handle;
    private StateHandle state;
    private boolean holdsState;
    private boolean ended;
    private long meteredReadTokens;
    private int cachedTokens;

    /**
     * An attempt that is about to be sent.
     *
     * @param policyAttempt the policy's view of it
     * @param endpoint where its engine listens
     * @param attemptId names it at the engine, also for the release of its state
     * @param stateSource the read whose state it is to fetch, or null
     */
    InFlightAttempt(
            Attempt policyAttempt, Endpoint endpoint, String attemptId, InFlightAttempt stateSource) {
        this.policyAttempt = policyAttempt;
        this.endpoint = endpoint;
        this.attemptId = attemptId;
        this.stateSource = stateSource;
        holdsState = policyAttempt.read;
    }

    Attempt policyAttempt() {
        return policyAttempt;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    String attemptId() {
        return attemptId;
    }

    InFlightAttempt stateSource() {
        return stateSource;
    }

    boolean isRead() {
        return policyAttempt.read;
    }

    /** The stage as metrics and logs name it. */
    String stage() {
        return policyAttempt.read ? "read" : "write";
    }

    UpstreamClient.AttemptHandle handle() {
        return handle;
    }

    /** The state that its read has left, or null. */
    StateHandle state() {
        return state;
    }

    /** Whether a state is, or may be, held at the engine and has not been released. */
    boolean holdsState() {
        return holdsState;
    }

    boolean isEnded() {
        return ended;
    }

    /** What its read counts as, or 0 before it has read. */
    long meteredReadTokens() {
        return meteredReadTokens;
    }

    /** Prompt tokens that its engine had cached. */
    int cachedTokens() {
        return cachedTokens;
    }

    void setHandle(UpstreamClient.AttemptHandle attemptHandle) {
        handle = attemptHandle;
    }

    /** Its read has ended and has left a state at its engine. */
    void readCompleted(StateHandle leftState, long countedTokens, int tokensFromCache) {
        ended = true;
        state = leftState;
        meteredReadTokens = countedTokens;
        cachedTokens = tokensFromCache;
    }

    void markEnded() {
        ended = true;
    }

    /** Its state has been fetched or released, or never was there. */
    void markStateRemoved() {
        holdsState = false;
    }
}
