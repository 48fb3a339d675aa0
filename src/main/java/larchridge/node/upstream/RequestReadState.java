package larchridge.node.upstream;

import java.util.HashSet;
import java.util.Set;
import larchridge.upstream.Endpoint;

/**
 * What this node knows of the attempts of one request and of the read state that engines may hold
 * for it. One method for each transition; the decisions are {@link StateReleaser}'s.
 */
final class RequestReadState {
    private static final long NO_TIMER = -1;

    private final String requestId;

    /** Attempts whose end was not reported yet. */
    private int inFlightAttempts;

    /** The response has started: nothing is left to be fetched. */
    private boolean responseStarted;

    /** An engine may hold a state. */
    private boolean mayBeHeld;

    /** The timer of the time for which a state may be held, or {@link #NO_TIMER}. */
    private long holdTimer = NO_TIMER;

    /** A release was requested and has not been sent; also true beside one under way. */
    private boolean releaseRequested;

    private ReleaseMode releaseMode = ReleaseMode.NONE;
    private double releaseStartMs;

    /** This machine could not send the release under way to one of the engines. */
    private boolean releaseNotSent;

    /** The engines that the release under way was sent to. */
    private final Set<Endpoint> triedEndpoints = new HashSet<>();

    /** The engine that the read went to, tried first; null until a release is requested. */
    private Endpoint holder;

    /** The newest attempt if it may fetch a state, else null. */
    private ReleaseListener releaseListener;

    /** Which release is under way. */
    enum ReleaseMode {
        /** None is. */
        NONE,
        /** One that waited until no attempt could fetch the state any more. */
        AFTER_ATTEMPTS,
        /** One sent beside an attempt, since the time for which the state may be held runs out. */
        DURING_ATTEMPT
    }

    /** Notified of releases that an attempt in flight did not wait for. */
    interface ReleaseListener {
        /** The state that the attempt is to fetch is being released beside it. */
        void releasedDuringAttempt();
    }

    RequestReadState(String requestId) {
        this.requestId = requestId;
    }

    /** The client's id of the request. */
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

    /** The response has started, and its attempt has fetched what was held. */
    void responseStarted() {
        responseStarted = true;
        mayBeHeld = false;
    }

    /** The newest attempt may fetch a state. */
    void setReleaseListener(ReleaseListener listener) {
        releaseListener = listener;
    }

    /** The newest attempt fetches no state. */
    void clearReleaseListener() {
        releaseListener = null;
    }

    void notifyReleasedDuringAttempt() {
        if (releaseListener != null) {
            releaseListener.releasedDuringAttempt();
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

    /** An engine holds a state, or may do so. */
    void markMayBeHeld() {
        mayBeHeld = true;
    }

    /** No engine holds a state any more. */
    void markReleased() {
        mayBeHeld = false;
    }

    boolean hasHoldTimer() {
        return holdTimer != NO_TIMER;
    }

    void holdTimerStarted(long timer) {
        holdTimer = timer;
    }

    /** Forgets the timer, which has fired or is being cancelled; returns its number. */
    long clearHoldTimer() {
        long timer = holdTimer;
        holdTimer = NO_TIMER;
        return timer;
    }

    // ------------------------------------------------------------------ release

    boolean isReleaseRequested() {
        return releaseRequested;
    }

    /** Nothing of the state is wanted any more. */
    void requestRelease(Endpoint holdingEndpoint) {
        releaseRequested = true;
        holder = holdingEndpoint;
    }

    /** A release that broke off has to be sent again, unless the response has started. */
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

    /** A release is under way from now on. */
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

    /** The release under way is being sent to this engine. */
    void recordTry(Endpoint endpoint) {
        triedEndpoints.add(endpoint);
    }

    /** Whether this machine could not send one of the tries. */
    boolean hasUnsentTry() {
        return releaseNotSent;
    }

    /** This machine could not send one of the tries. */
    void recordUnsentTry() {
        releaseNotSent = true;
    }

    /** All engines may be tried anew. */
    void clearTries() {
        releaseNotSent = false;
        triedEndpoints.clear();
    }

    /** Whether nothing of the request is left to keep account of. */
    boolean isIdle() {
        return inFlightAttempts == 0 && !releaseRequested && !isReleasing() && !hasHoldTimer();
    }
}
