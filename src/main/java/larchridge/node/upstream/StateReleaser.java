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
 * more, and in any case before the time is over for which it may be held. All methods run on the
 * loop.
 *
 * <p>The time for a held state rests while an attempt is at an engine. An attempt that was written
 * to a connection may never have arrived there, and nothing shows it. So the time is taken to run
 * on until the engine responds to an attempt, and the release is sent when most of it is over,
 * whether or not an attempt is in flight. That is harmless where the attempt did arrive: an engine
 * frees no state that a request in its queue waits for. Where it did not arrive, the state is freed
 * in time; an attempt that arrives later is declined by the engine for want of a state, and the
 * prompt is read again.
 */
final class StateReleaser {
    /** A release is tried this many times within the time for which a state may be held. */
    private static final int TRIES_PER_HOLD_TIME = 5;

    /** One beside an attempt starts late, and is tried this many times up to the latest moment. */
    private static final int TRIES_DURING_ATTEMPT = 4;

    /** A release is tried this many times in all, each at another engine. */
    private static final int MAX_TRIES = 10;

    /** The platform counts a state as held for too long only this much after its time. */
    private static final double HOLD_GRACE_MS = 300;

    /** Requests that are kept account of at a time. */
    private static final int MAX_TRACKED_REQUESTS = 20_000;

    /**
     * A release is sent at this part of the time for a held state; the rest is for tries at engines
     * that do not answer.
     */
    private static final double RELEASE_AT_FRACTION = 0.85;

    /** A release that this machine could not send is tried again for so many times that time. */
    private static final double LOCAL_FAILURE_RETRY_FACTOR = 5;

    private static final Logger LOG = LoggerFactory.getLogger(StateReleaser.class);

    private final Scheduler scheduler;
    private final double stateHoldMs;

    /** An engine may take this long to answer a release before another is tried. */
    private final double tryTimeoutMs;

    /** The same for a release that is sent beside an attempt. */
    private final double duringAttemptTryTimeoutMs;

    private final Transport transport;

    /** The requests that are kept account of, by the client's id. */
    private final Map<String, RequestReadState> readStates = new HashMap<>();

    /** How releases reach engines. */
    interface Transport {
        /**
         * Asks an engine to release all that engines hold for a request; the listener gets the
         * result, never from inside the call.
         */
        void release(
                Endpoint endpoint,
                String requestId,
                double timeoutMs,
                Consumer<ControlCallResult> listener);

        /** The engine to try next, or null if all have been tried. */
        Endpoint nextEndpoint(Endpoint holder, Set<Endpoint> tried);
    }

    StateReleaser(Scheduler scheduler, double stateHoldMs, Transport transport) {
        this.scheduler = scheduler;
        this.stateHoldMs = stateHoldMs;
        this.transport = transport;
        tryTimeoutMs = stateHoldMs / TRIES_PER_HOLD_TIME;
        duringAttemptTryTimeoutMs =
                Math.min(tryTimeoutMs, ((1 - RELEASE_AT_FRACTION) * stateHoldMs + HOLD_GRACE_MS) / TRIES_DURING_ATTEMPT);
    }

    // ------------------------------------------------------------------ what happens to attempts

    /** An attempt of a request starts. */
    RequestReadState attemptStarted(String requestId) {
        RequestReadState readState =
                readStates.computeIfAbsent(requestId, RequestReadState::new);
        readState.attemptStarted();
        return readState;
    }

    /** A read has ended well: its engine holds the state. */
    void readCompleted(RequestReadState readState) {
        readState.attemptEnded();
        markHeld(readState);
        scheduleReleaseOrRemove(readState);
    }

    /** A response has started, and its attempt has fetched what was held. */
    void responseStarted(RequestReadState readState) {
        readState.responseStarted();
        cancelHoldTimer(readState);
    }

    /**
     * An attempt has ended otherwise.
     *
     * @param responseReceived whether its engine answered anything, so that the attempt had arrived
     *     there
     */
    void attemptEnded(RequestReadState readState, boolean responseReceived) {
        readState.attemptEnded();
        // Released beside it, the state may have stayed for this attempt alone, and is held anew
        // from now on.
        boolean releasedBefore = !readState.hasHoldTimer();
        if (readState.mayBeHeld() && (responseReceived || releasedBefore)) {
            cancelHoldTimer(readState);
            markHeld(readState);
        }
        scheduleReleaseOrRemove(readState);
    }

    // ------------------------------------------------------------------ releases

    /** Nothing of the request's state is wanted any more. */
    void release(String requestId, Endpoint holder) {
        RequestReadState readState = readStates.get(requestId);
        if (readState == null) {
            if (readStates.size() >= MAX_TRACKED_REQUESTS) {
                LOG.atWarn()
                        .addKeyValue("id", requestId)
                        .log("too many releases under way; a state is left to its engine");
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

    /** Whether a release is requested or under way. */
    boolean hasPendingReleases() {
        return readStates.values().stream()
                .anyMatch(
                        readState ->
                                readState.isReleaseRequested() || readState.isReleasing());
    }

    /** Requests with an attempt in flight or a state to release. */
    int openRequests() {
        return readStates.size();
    }

    /** A state may be held from now on; where an older one is, that one's time runs on. */
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
                .log(
                        "releases a state before its time is over, "
                                + "beside attempts that were not heard of");
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
     * Sends a release that is requested once nothing can be fetched any more. A release names the
     * whole request; sent earlier than it has to be, it could free the state that an attempt on its
     * way is to fetch.
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
            // Else a state that a request in an engine's queue waits for stays, and is released
            // after that attempt's end.
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
     * No engine has taken it. Where this machine could not send, for want of a descriptor or a
     * buffer, that passes: all are tried anew a little later.
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
                .log("no engine took a release; the state is left to its engine");
        releaseEnded(readState);
    }

    private void releaseEnded(RequestReadState readState) {
        readState.releaseEnded();
        scheduleReleaseOrRemove(readState);
    }
}
