package larchridge.node.upstream;

import java.util.HashSet;
import java.util.Set;
import larchridge.upstream.Endpoint;

/**
 * Tracks the in-flight attempts of one request and the read state that engines may hold for it. It
 * has one method per transition; {@link StateReleaser} makes the decisions.
 */
final class TrackedRequest {
    private static final long NO_TIMER = -1;

    private final String requestId;

    /** Number of attempts that have not ended. */
    private int inFlightAttempts;

    /** Whether the response has started, so that no state is left to fetch. */
    private boolean responseStarted;

    /** Whether an engine may hold a state. */
    private boolean mayBeHeld;

    /** Timer for the hold time of a state, or {@link #NO_TIMER}. */
    private long holdTimer = NO_TIMER;

    /**
     * Whether a release is requested and not started yet; it can be requested again while an
     * earlier one is in progress.
     */
    private boolean releaseRequested;

    private ReleaseMode releaseMode = ReleaseMode.NONE;
    private double releaseStartMs;

    /** Whether this machine could not send one of the tries of the current release. */
    private boolean hasUnsentTry;

    /** The engines to which the current release was sent. */
    private final Set<Endpoint> triedEndpoints = new HashSet<>();

    /** The engine that read the prompt, tried first; null until a release is requested. */
    private Endpoint holder;

    /** The latest attempt if it may fetch a state, else null. */
    private ReleaseListener releaseListener;

    /** Which kind of release is in progress. */
    enum ReleaseMode {
        /** No release is in progress. */
        NONE,
        /** A release that waited until no attempt could fetch the state. */
        AFTER_ATTEMPTS,
        /** A release sent during an attempt, because the hold time is about to expire. */
        DURING_ATTEMPT
    }

    /** Receives notice of releases that are started during an attempt. */
    interface ReleaseListener {
        /** Called when a release of the state that the attempt may fetch has been started. */
        void releaseStartedDuringAttempt();
    }

    TrackedRequest(String requestId) {
        this.requestId = requestId;
    }

    /** Returns the client's request id. */
    String requestId() {
        return requestId;
    }

    // ------------------------------------------------------------------ attempts

    int inFlightAttempts() {
        return inFlightAttempts;
    }

    void attemptStarted() {
        inFlightAttempts++;
    }

    void attemptEnded() {
        inFlightAttempts--;
    }

    boolean hasResponseStarted() {
        return responseStarted;
    }

    /** Records that the response has started, so its attempt has fetched the state. */
    void responseStarted() {
        responseStarted = true;
        mayBeHeld = false;
    }

    /** Sets the listener for the latest attempt, which may fetch a state. */
    void setReleaseListener(ReleaseListener listener) {
        releaseListener = listener;
    }

    /** Clears the listener, because the latest attempt fetches no state. */
    void clearReleaseListener() {
        releaseListener = null;
    }

    void notifyReleaseStartedDuringAttempt() {
        if (releaseListener != null) {
            releaseListener.releaseStartedDuringAttempt();
        }
    }

    /** Whether a release could free a state that an attempt is about to fetch. */
    boolean mayBeFetched() {
        return inFlightAttempts > 0 && !responseStarted;
    }

    // ------------------------------------------------------------------ held state

    boolean mayBeHeld() {
        return mayBeHeld;
    }

    /** Records that an engine may hold a state. */
    void markMayBeHeld() {
        mayBeHeld = true;
    }

    /** Records that no engine holds a state any more. */
    void markReleased() {
        mayBeHeld = false;
    }

    boolean hasHoldTimer() {
        return holdTimer != NO_TIMER;
    }

    void holdTimerStarted(long timer) {
        holdTimer = timer;
    }

    /** Clears the timer, which has fired or is being cancelled, and returns its id. */
    long clearHoldTimer() {
        long timer = holdTimer;
        holdTimer = NO_TIMER;
        return timer;
    }

    // ------------------------------------------------------------------ release

    boolean isReleaseRequested() {
        return releaseRequested;
    }

    /** Requests a release, because the state is no longer needed. */
    void requestRelease(Endpoint holdingEndpoint) {
        releaseRequested = true;
        holder = holdingEndpoint;
    }

    /** Requests a release again after an aborted one, unless the response has started. */
    void requestReleaseAgain() {
        releaseRequested |= !responseStarted;
    }

    Endpoint holder() {
        return holder;
    }

    boolean isReleasing() {
        return releaseMode != ReleaseMode.NONE;
    }

    boolean isReleasingDuringAttempt() {
        return releaseMode == ReleaseMode.DURING_ATTEMPT;
    }

    /** Records the start of a release. */
    void releaseStarted(ReleaseMode mode, double nowMs) {
        releaseRequested = false;
        releaseMode = mode;
        releaseStartMs = nowMs;
        clearTries();
    }

    void releaseEnded() {
        releaseMode = ReleaseMode.NONE;
    }

    double releaseStartMs() {
        return releaseStartMs;
    }

    Set<Endpoint> triedEndpoints() {
        return triedEndpoints;
    }

    /** Records that the current release is being sent to an engine. */
    void recordTry(Endpoint endpoint) {
        triedEndpoints.add(endpoint);
    }

    /** Whether this machine could not send one of the tries of the current release. */
    boolean hasUnsentTry() {
        return hasUnsentTry;
    }

    /** Records that this machine could not send one of the tries. */
    void recordUnsentTry() {
        hasUnsentTry = true;
    }

    /** Allows all engines to be tried again. */
    void clearTries() {
        hasUnsentTry = false;
        triedEndpoints.clear();
    }

    /** Whether the request no longer needs to be tracked. */
    boolean isIdle() {
        return inFlightAttempts == 0 && !releaseRequested && !isReleasing() && !hasHoldTimer();
    }
}
