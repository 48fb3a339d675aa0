package larchridge.node.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import larchridge.node.upstream.TrackedRequest.ReleaseMode;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases the read states that engines hold for requests: once no attempt can fetch a state any
 * more, and in any case before its maximum hold time expires. A release can be sent to any engine;
 * it frees the states of the request at all engines. All methods run on the event loop.
 *
 * <p>The hold time of a state does not run while an attempt of its request is at an engine, that
 * is, has arrived there and not ended. But an attempt that was written to a connection may never
 * have reached the engine, which this node cannot detect. So the hold time is assumed to continue
 * until the engine responds to an attempt, and the release is sent when most of the hold time has
 * passed, even during an attempt. If the attempt did reach the engine, this is harmless, because an
 * engine does not free a state that a queued request waits for. If it did not, the state is
 * released in time; should the attempt arrive later, the engine declines it because the state is
 * missing, and the prompt is read again.
 */
final class StateReleaser {
    /** Number of tries of a release that fit into the hold time. */
    private static final int TRIES_PER_HOLD_TIME = 5;

    /**
     * Number of tries of a release during an attempt that fit between {@link #RELEASE_AT_FRACTION}
     * of the hold time and the end of {@link #HOLD_GRACE_MS}; determines the timeout of a try.
     */
    private static final int TRIES_IN_REMAINING_HOLD_TIME = 4;

    /**
     * Maximum number of engines tried before a release is given up or, if a try could not be sent
     * for a local reason, starts again with all engines.
     */
    private static final int MAX_TRIES = 10;

    /**
     * Tolerance of the platform that this node belongs to: a state counts as held too long only
     * this long after its hold time.
     */
    private static final double HOLD_GRACE_MS = 300;

    /** At this number of tracked requests, releases for untracked requests are dropped. */
    private static final int RELEASE_DROP_THRESHOLD = 20_000;

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
    private final Map<String, TrackedRequest> trackedRequests = new HashMap<>();

    /** Sends releases and chooses the engines to which they are sent. */
    interface Transport {
        /**
         * Sends a release of all states of a request to an engine. The listener receives the
         * result, never from within this call.
         */
        void release(
                Endpoint endpoint,
                String requestId,
                double timeoutMs,
                Consumer<ControlCallResult> listener);

        /**
         * Returns the engine to try next, or null if all have been tried.
         *
         * @param holder the engine that read the prompt, or null if no release was requested yet
         * @param tried the engines tried so far
         */
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
                                / TRIES_IN_REMAINING_HOLD_TIME);
    }

    // ------------------------------------------------------------------ attempts

    /** Tracks a new attempt of a request. */
    TrackedRequest attemptStarted(String requestId) {
        TrackedRequest trackedRequest =
                trackedRequests.computeIfAbsent(requestId, TrackedRequest::new);
        trackedRequest.attemptStarted();
        return trackedRequest;
    }

    /** Called when a read has completed and its engine holds the state. */
    void readCompleted(TrackedRequest trackedRequest) {
        trackedRequest.attemptEnded();
        markMayBeHeld(trackedRequest);
        scheduleReleaseOrRemove(trackedRequest);
    }

    /** Called when a response has started, so its attempt has fetched the state. */
    void responseStarted(TrackedRequest trackedRequest) {
        trackedRequest.responseStarted();
        cancelHoldTimer(trackedRequest);
    }

    /**
     * Called when an attempt has ended other than by a completed read.
     *
     * @param responseReceived whether the engine sent a response, which shows that the attempt
     *     reached it
     */
    void attemptEnded(TrackedRequest trackedRequest, boolean responseReceived) {
        trackedRequest.attemptEnded();
        // A release sent during this attempt may have left the state in place, because the attempt
        // was queued; its hold time then starts anew when the attempt ends.
        boolean releaseSentDuringAttempt = !trackedRequest.hasHoldTimer();
        if (trackedRequest.mayBeHeld() && (responseReceived || releaseSentDuringAttempt)) {
            cancelHoldTimer(trackedRequest);
            markMayBeHeld(trackedRequest);
        }
        scheduleReleaseOrRemove(trackedRequest);
    }

    // ------------------------------------------------------------------ releases

    /**
     * Requests the release of a request's state that is no longer needed; it is sent once no
     * attempt can fetch the state.
     */
    void requestRelease(String requestId, Endpoint holder) {
        TrackedRequest trackedRequest = trackedRequests.get(requestId);
        if (trackedRequest == null) {
            if (trackedRequests.size() >= RELEASE_DROP_THRESHOLD) {
                LOG.atWarn()
                        .addKeyValue("id", requestId)
                        .log("too many tracked requests; release not sent");
                return;
            }
            trackedRequest = new TrackedRequest(requestId);
            trackedRequests.put(requestId, trackedRequest);
        }
        trackedRequest.requestRelease(holder);
        if (trackedRequest.mayBeFetched() && !trackedRequest.hasHoldTimer()) {
            markMayBeHeld(trackedRequest);
        }
        scheduleReleaseOrRemove(trackedRequest);
    }

    /** Whether any release is requested or in progress. */
    boolean hasPendingReleases() {
        return trackedRequests.values().stream()
                .anyMatch(
                        trackedRequest ->
                                trackedRequest.isReleaseRequested()
                                        || trackedRequest.isReleasing());
    }

    /** Returns the number of requests with an in-flight attempt or a state to release. */
    int trackedRequestCount() {
        return trackedRequests.size();
    }

    /**
     * Records that a state may be held and starts the hold timer; a timer that is already running
     * for an earlier state is kept.
     */
    private void markMayBeHeld(TrackedRequest trackedRequest) {
        trackedRequest.markMayBeHeld();
        if (!trackedRequest.hasHoldTimer()) {
            trackedRequest.holdTimerStarted(
                    scheduler.schedule(
                            RELEASE_AT_FRACTION * stateHoldMs,
                            () -> holdTimeExpiring(trackedRequest)));
        }
    }

    private void holdTimeExpiring(TrackedRequest trackedRequest) {
        trackedRequest.clearHoldTimer();
        if (!trackedRequest.mayBeHeld() || trackedRequest.isReleasing()) {
            return;
        }
        LOG.atDebug()
                .addKeyValue("id", trackedRequest.requestId())
                .addKeyValue("attempts", trackedRequest.inFlightAttempts())
                .log("read state not fetched and its hold time is nearly over; releasing it");
        boolean duringAttempt = trackedRequest.mayBeFetched();
        startRelease(
                trackedRequest,
                duringAttempt ? ReleaseMode.DURING_ATTEMPT : ReleaseMode.AFTER_ATTEMPTS);
        if (duringAttempt) {
            trackedRequest.notifyReleaseStartedDuringAttempt();
        }
    }

    private void cancelHoldTimer(TrackedRequest trackedRequest) {
        if (trackedRequest.hasHoldTimer()) {
            scheduler.cancel(trackedRequest.clearHoldTimer());
        }
    }

    private void scheduleReleaseOrRemove(TrackedRequest trackedRequest) {
        scheduler.execute(() -> releaseOrRemove(trackedRequest));
    }

    /**
     * Sends a requested release once no attempt can fetch the state, or stops tracking a request
     * that needs no more tracking. A release applies to the whole request; if it were sent too
     * early, it could free the state that an attempt in transit is about to fetch.
     */
    private void releaseOrRemove(TrackedRequest trackedRequest) {
        if (trackedRequest.isReleaseRequested()
                && !trackedRequest.isReleasing()
                && !trackedRequest.mayBeFetched()) {
            startRelease(trackedRequest, ReleaseMode.AFTER_ATTEMPTS);
        } else if (trackedRequest.isIdle()) {
            remove(trackedRequest);
        }
    }

    private void remove(TrackedRequest trackedRequest) {
        cancelHoldTimer(trackedRequest);
        trackedRequests.remove(trackedRequest.requestId(), trackedRequest);
    }

    private void startRelease(TrackedRequest trackedRequest, ReleaseMode mode) {
        trackedRequest.releaseStarted(mode, scheduler.nowMs());
        sendToNextEndpoint(trackedRequest);
    }

    private void sendToNextEndpoint(TrackedRequest trackedRequest) {
        Set<Endpoint> tried = trackedRequest.triedEndpoints();
        Endpoint endpoint =
                tried.size() < MAX_TRIES
                        ? transport.nextEndpoint(trackedRequest.holder(), tried)
                        : null;
        if (endpoint == null) {
            endpointsExhausted(trackedRequest);
            return;
        }
        trackedRequest.recordTry(endpoint);
        transport.release(
                endpoint,
                trackedRequest.requestId(),
                trackedRequest.isReleasingDuringAttempt()
                        ? duringAttemptTryTimeoutMs
                        : tryTimeoutMs,
                result -> tryCompleted(trackedRequest, result));
    }

    private void tryCompleted(TrackedRequest trackedRequest, ControlCallResult result) {
        boolean mayContinue =
                trackedRequest.isReleasingDuringAttempt()
                        ? !trackedRequest.hasResponseStarted()
                        : !trackedRequest.mayBeFetched();
        if (result == ControlCallResult.ANSWERED) {
            if (!trackedRequest.mayBeFetched()) {
                trackedRequest.markReleased();
                cancelHoldTimer(trackedRequest);
            }
            // Otherwise the engine keeps a state that a queued request waits for; it is released
            // after that attempt has ended.
            releaseEnded(trackedRequest);
        } else if (mayContinue) {
            if (result == ControlCallResult.NOT_SENT) {
                trackedRequest.recordUnsentTry();
            }
            sendToNextEndpoint(trackedRequest);
        } else {
            trackedRequest.requestReleaseAgain();
            releaseEnded(trackedRequest);
        }
    }

    /**
     * Called when none of the engines tried has answered the release. If a try could not be sent
     * for a local reason (connection limit, or lack of a file descriptor, buffer, port or route),
     * the cause is taken to be temporary and all engines are tried again later.
     */
    private void endpointsExhausted(TrackedRequest trackedRequest) {
        double sinceStartMs = scheduler.nowMs() - trackedRequest.releaseStartMs();
        if (trackedRequest.hasUnsentTry()
                && sinceStartMs < LOCAL_FAILURE_RETRY_FACTOR * stateHoldMs) {
            trackedRequest.clearTries();
            scheduler.schedule(tryTimeoutMs, () -> sendToNextEndpoint(trackedRequest));
            return;
        }
        LOG.atWarn()
                .addKeyValue("id", trackedRequest.requestId())
                .log("no engine tried has answered the release; the state may still be held");
        releaseEnded(trackedRequest);
    }

    private void releaseEnded(TrackedRequest trackedRequest) {
        trackedRequest.releaseEnded();
        scheduleReleaseOrRemove(trackedRequest);
    }
}
