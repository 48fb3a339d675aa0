package larchridge.node.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import larchridge.node.upstream.RequestReadState.ReleaseMode;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases the read states that engines hold for requests: once no attempt can fetch a state any
 * more, and in any case before its maximum hold time expires. All methods run on the event loop.
 *
 * <p>The hold time of a state is suspended while an attempt is at an engine. But an attempt that
 * was written to a connection may never have reached the engine, which this node cannot detect. So
 * the hold time is assumed to continue until the engine responds to an attempt, and the release is
 * sent when most of the hold time has passed, even during an attempt. If the attempt did reach the
 * engine, this is harmless, because an engine does not free a state that a queued request waits
 * for. If it did not, the state is released in time; should the attempt arrive later, the engine
 * declines it because the state is missing, and the prompt is read again.
 */
final class StateReleaser {
    /** Number of tries of a release that fit into the hold time. */
    private static final int TRIES_PER_HOLD_TIME = 5;

    /** Number of tries of a release during an attempt, in the rest of the hold time plus grace. */
    private static final int TRIES_DURING_ATTEMPT = 4;

    /** Maximum number of tries of a release, each at a different engine. */
    private static final int MAX_TRIES = 10;

    /** Grace period after the hold time before the platform counts a state as held too long. */
    private static final double HOLD_GRACE_MS = 300;

    /** Number of tracked requests from which a release for an untracked one is not sent. */
    private static final int MAX_TRACKED_REQUESTS = 20_000;

    /**
     * Fraction of the hold time after which a release is sent; the rest allows for engines that do
     * not respond.
     */
    private static final double RELEASE_AT_FRACTION = 0.85;

    /** A release that this machine could not send is retried for this many hold times. */
    private static final double LOCAL_FAILURE_RETRY_FACTOR = 5;

    private static final Logger LOG = LoggerFactory.getLogger(StateReleaser.class);

    private final Scheduler scheduler;
    private final double stateHoldMs;

    /** Time for an engine to respond to a release before the next one is tried. */
    private final double tryTimeoutMs;

    /** The same for a release during an attempt. */
    private final double duringAttemptTryTimeoutMs;

    private final Transport transport;

    /** The tracked requests, by request id. */
    private final Map<String, RequestReadState> readStates = new HashMap<>();

    /** Sends releases to engines. */
    interface Transport {
        /**
         * Asks an engine to release all states that engines hold for a request. The listener
         * receives the result, never from within this call.
         */
        void release(
                Endpoint endpoint,
                String requestId,
                double timeoutMs,
                Consumer<ControlCallResult> listener);

        /** Returns the engine to try next, or null if all have been tried. */
        Endpoint nextEndpoint(Endpoint holder, Set<Endpoint> tried);
    }

    StateReleaser(Scheduler scheduler, double stateHoldMs, Transport transport) {
        this.scheduler = scheduler;
        this.stateHoldMs = stateHoldMs;
        this.transport = transport;
        tryTimeoutMs = stateHoldMs / TRIES_PER_HOLD_TIME;
        duringAttemptTryTimeoutMs =
                Math.min(
                        tryTimeoutMs,
                        ((1 - RELEASE_AT_FRACTION) * stateHoldMs + HOLD_GRACE_MS)
                                / TRIES_DURING_ATTEMPT);
    }

    // ------------------------------------------------------------------ attempts

    /** Tracks a new attempt of a request. */
    RequestReadState attemptStarted(String requestId) {
        RequestReadState readState = readStates.computeIfAbsent(requestId, RequestReadState::new);
        readState.attemptStarted();
        return readState;
    }

    /** Called when a read has completed and its engine holds the state. */
    void readCompleted(RequestReadState readState) {
        readState.attemptEnded();
        markHeld(readState);
        scheduleReleaseOrRemove(readState);
    }

    /** Called when a response has started, so its attempt has fetched the state. */
    void responseStarted(RequestReadState readState) {
        readState.responseStarted();
        cancelHoldTimer(readState);
    }

    /**
     * Called when an attempt has ended in any other way.
     *
     * @param responseReceived whether the engine sent a response, which shows that the attempt
     *     reached it
     */
    void attemptEnded(RequestReadState readState, boolean responseReceived) {
        readState.attemptEnded();
        // If a release was sent during this attempt, the engine may have kept the state only for
        // the attempt, and a new hold time starts now.
        boolean releasedBefore = !readState.hasHoldTimer();
        if (readState.mayBeHeld() && (responseReceived || releasedBefore)) {
            cancelHoldTimer(readState);
            markHeld(readState);
        }
        scheduleReleaseOrRemove(readState);
    }

    // ------------------------------------------------------------------ releases

    /** Releases the state of a request, which is no longer needed. */
    void release(String requestId, Endpoint holder) {
        RequestReadState readState = readStates.get(requestId);
        if (readState == null) {
            if (readStates.size() >= MAX_TRACKED_REQUESTS) {
                LOG.atWarn()
                        .addKeyValue("id", requestId)
                        .log("too many tracked requests; release not sent");
                return;
            }
            readState = new RequestReadState(requestId);
            readStates.put(requestId, readState);
        }
        readState.requestRelease(holder);
        if (readState.mayBeFetched() && !readState.hasHoldTimer()) {
            markHeld(readState);
        }
        scheduleReleaseOrRemove(readState);
    }

    /** Whether any release is requested or in progress. */
    boolean hasPendingReleases() {
        return readStates.values().stream()
                .anyMatch(
                        readState ->
                                readState.isReleaseRequested() || readState.isReleasing());
    }

    /** Returns the number of requests with an in-flight attempt or a state to release. */
    int openRequests() {
        return readStates.size();
    }

    /** Records that a state may be held; the hold time of an earlier one continues. */
    private void markHeld(RequestReadState readState) {
        readState.markMayBeHeld();
        if (!readState.hasHoldTimer()) {
            readState.holdTimerStarted(
                    scheduler.schedule(
                            RELEASE_AT_FRACTION * stateHoldMs, () -> holdTimeExpiring(readState)));
        }
    }

    private void holdTimeExpiring(RequestReadState readState) {
        readState.clearHoldTimer();
        if (!readState.mayBeHeld() || readState.isReleasing()) {
            return;
        }
        LOG.atDebug()
                .addKeyValue("id", readState.requestId())
                .addKeyValue("attempts", readState.inFlightAttempts())
                .log("hold time is expiring without a response; releasing the state");
        boolean duringAttempt = readState.mayBeFetched();
        startRelease(
                readState,
                duringAttempt ? ReleaseMode.DURING_ATTEMPT : ReleaseMode.AFTER_ATTEMPTS);
        if (duringAttempt) {
            readState.notifyReleasedDuringAttempt();
        }
    }

    private void cancelHoldTimer(RequestReadState readState) {
        if (readState.hasHoldTimer()) {
            scheduler.cancel(readState.clearHoldTimer());
        }
    }

    private void scheduleReleaseOrRemove(RequestReadState readState) {
        scheduler.execute(() -> releaseOrRemove(readState));
    }

    /**
     * Sends a requested release once no attempt can fetch the state, or stops tracking a request
     * that needs no more tracking. A release applies to the whole request; if it were sent too
     * early, it could free the state that an attempt in transit is about to fetch.
     */
    private void releaseOrRemove(RequestReadState readState) {
        if (readState.isReleaseRequested()
                && !readState.isReleasing()
                && !readState.mayBeFetched()) {
            startRelease(readState, ReleaseMode.AFTER_ATTEMPTS);
        } else if (readState.isIdle()) {
            remove(readState);
        }
    }

    private void remove(RequestReadState readState) {
        cancelHoldTimer(readState);
        readStates.remove(readState.requestId(), readState);
    }

    private void startRelease(RequestReadState readState, ReleaseMode mode) {
        readState.releaseStarted(mode, scheduler.nowMs());
        sendToNextEndpoint(readState);
    }

    private void sendToNextEndpoint(RequestReadState readState) {
        Set<Endpoint> tried = readState.triedEndpoints();
        Endpoint endpoint =
                tried.size() < MAX_TRIES
                        ? transport.nextEndpoint(readState.holder(), tried)
                        : null;
        if (endpoint == null) {
            endpointsExhausted(readState);
            return;
        }
        readState.recordTry(endpoint);
        transport.release(
                endpoint,
                readState.requestId(),
                readState.isReleasingDuringAttempt() ? duringAttemptTryTimeoutMs : tryTimeoutMs,
                result -> tryCompleted(readState, result));
    }

    private void tryCompleted(RequestReadState readState, ControlCallResult result) {
        boolean stillNeeded =
                readState.isReleasingDuringAttempt()
                        ? !readState.hasResponseStarted()
                        : !readState.mayBeFetched();
        if (result == ControlCallResult.ANSWERED) {
            if (!readState.mayBeFetched()) {
                readState.markReleased();
                cancelHoldTimer(readState);
            }
            // Otherwise the engine keeps a state that a queued request waits for; it is released
            // after that attempt has ended.
            releaseEnded(readState);
        } else if (stillNeeded) {
            if (result == ControlCallResult.NOT_SENT) {
                readState.recordUnsentTry();
            }
            sendToNextEndpoint(readState);
        } else {
            readState.requestReleaseAgain();
            releaseEnded(readState);
        }
    }

    /**
     * Called when no engine has accepted the release. If this machine could not send it, for lack
     * of a file descriptor or buffer, the cause is temporary and all engines are tried again later.
     */
    private void endpointsExhausted(RequestReadState readState) {
        double sinceStartMs = scheduler.nowMs() - readState.releaseStartMs();
        if (readState.hasUnsentTry() && sinceStartMs < LOCAL_FAILURE_RETRY_FACTOR * stateHoldMs) {
            readState.clearTries();
            scheduler.schedule(tryTimeoutMs, () -> sendToNextEndpoint(readState));
            return;
        }
        LOG.atWarn()
                .addKeyValue("id", readState.requestId())
                .log("no engine accepted the release; state not released");
        releaseEnded(readState);
    }

    private void releaseEnded(RequestReadState readState) {
        readState.releaseEnded();
        scheduleReleaseOrRemove(readState);
    }
}
