package larchridge.router;

import larchridge.state.Attempt;
import larchridge.upstream.Endpoint;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;

/**
 * The router's view of one attempt: its endpoint, the handle to cancel it, and the state that its
 * reader may hold. A read ends when it completes; from its sending until the state is fetched or
 * released, its reader counts as holding the state.
 */
final class InFlightAttempt {
    private final Attempt policyAttempt;
    private final Endpoint endpoint;
    private final String attemptId;
    private final InFlightAttempt stateSource;
    private UpstreamClient.AttemptHandle handle;
    private StateHandle state;
    private boolean mayHoldState;
    private boolean ended;
    private long meteredReadTokens;
    private int cachedTokens;

    /**
     * Creates an attempt that is about to be sent.
     *
     * @param policyAttempt the policy's view of the attempt
     * @param endpoint the address of its engine
     * @param attemptId identifies the attempt at the engine, also when its state is released
     * @param stateSource the read whose state the attempt is to fetch, or null
     */
    InFlightAttempt(
            Attempt policyAttempt,
            Endpoint endpoint,
            String attemptId,
            InFlightAttempt stateSource) {
        this.policyAttempt = policyAttempt;
        this.endpoint = endpoint;
        this.attemptId = attemptId;
        this.stateSource = stateSource;
        mayHoldState = policyAttempt.readsOnly;
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
        return policyAttempt.readsOnly;
    }

    /** The stage as named in metrics and logs. */
    String stage() {
        return policyAttempt.readsOnly ? "read" : "write";
    }

    UpstreamClient.AttemptHandle handle() {
        return handle;
    }

    /** The state that its read produced, or null. */
    StateHandle state() {
        return state;
    }

    /** Whether the engine holds, or may hold, a state that has not been released. */
    boolean mayHoldState() {
        return mayHoldState;
    }

    boolean isEnded() {
        return ended;
    }

    /** The metered tokens of its read, or 0 before the read completes. */
    long meteredReadTokens() {
        return meteredReadTokens;
    }

    /** Number of prompt tokens that its engine had cached. */
    int cachedTokens() {
        return cachedTokens;
    }

    void setHandle(UpstreamClient.AttemptHandle attemptHandle) {
        handle = attemptHandle;
    }

    /** The read completed, and its engine holds the state. */
    void readCompleted(StateHandle stateHandle, long countedTokens, int tokensFromCache) {
        ended = true;
        state = stateHandle;
        meteredReadTokens = countedTokens;
        cachedTokens = tokensFromCache;
    }

    void markEnded() {
        ended = true;
    }

    /** The state was fetched or released, or never existed. */
    void markStateRemoved() {
        mayHoldState = false;
    }
}
