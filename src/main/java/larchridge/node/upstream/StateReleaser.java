package larchridge.node.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import larchridge.node.upstream.StateReservation.ReleaseMode;
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
    private final Map<String, StateReservation> reservations = new HashMap<>();

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
    StateReservation attemptStarted(String requestId) {
        StateReservation reservation =
                reservations.computeIfAbsent(requestId, StateReservation::new);
        reservation.attemptStarted();
        return reservation;
    }

    /** A read has ended well: its engine holds the state. */
    void readCompleted(StateReservation reservation) {
        reservation.attemptEnded();
        markHeld(reservation);
        scheduleReleaseOrRemove(reservation);
    }

    /** A response has started, and its attempt has fetched what was held. */
    void responseStarted(StateReservation reservation) {
        reservation.responseStarted();
        cancelHoldTimer(reservation);
    }

    /**
     * An attempt has ended otherwise.
     *
     * @param responseReceived whether its engine answered anything, so that the attempt had arrived
     *     there
     */
    void attemptEnded(StateReservation reservation, boolean responseReceived) {
        reservation.attemptEnded();
        // Released beside it, the state may have stayed for this attempt alone, and is held anew
        // from now on.
        boolean releasedBefore = !reservation.hasHoldTimer();
        if (reservation.mayBeHeld() && (responseReceived || releasedBefore)) {
            cancelHoldTimer(reservation);
            markHeld(reservation);
        }
        scheduleReleaseOrRemove(reservation);
    }

    // ------------------------------------------------------------------ releases

    /** Nothing of the request's state is wanted any more. */
    void release(String requestId, Endpoint holder) {
        StateReservation reservation = reservations.get(requestId);
        if (reservation == null) {
            if (reservations.size() >= MAX_TRACKED_REQUESTS) {
                LOG.atWarn()
                        .addKeyValue("id", requestId)
                        .log("too many releases under way; a state is left to its engine");
                return;
            }
            reservation = new StateReservation(requestId);
            reservations.put(requestId, reservation);
        }
        reservation.requestRelease(holder);
        if (reservation.mayBeFetched() && !reservation.hasHoldTimer()) {
            markHeld(reservation);
        }
        scheduleReleaseOrRemove(reservation);
    }

    /** Whether a release is requested or under way. */
    boolean hasPendingReleases() {
        return reservations.values().stream()
                .anyMatch(
                        reservation ->
                                reservation.isReleaseRequested() || reservation.isReleasing());
    }

    /** Requests with an attempt in flight or a state to release. */
    int openRequests() {
        return reservations.size();
    }

    /** A state may be held from now on; where an older one is, that one's time runs on. */
    private void markHeld(StateReservation reservation) {
        reservation.markMayBeHeld();
        if (!reservation.hasHoldTimer()) {
            reservation.holdTimerStarted(
                    scheduler.schedule(
                            RELEASE_AT_FRACTION * stateHoldMs, () -> holdTimeExpiring(reservation)));
        }
    }

    private void holdTimeExpiring(StateReservation reservation) {
        reservation.clearHoldTimer();
        if (!reservation.mayBeHeld() || reservation.isReleasing()) {
            return;
        }
        LOG.atDebug()
                .addKeyValue("id", reservation.requestId())
                .addKeyValue("attempts", reservation.inFlightAttempts())
                .log(
                        "releases a state before its time is over, "
                                + "beside attempts that were not heard of");
        boolean duringAttempt = reservation.mayBeFetched();
        startRelease(
                reservation,
                duringAttempt ? ReleaseMode.DURING_ATTEMPT : ReleaseMode.AFTER_ATTEMPTS);
        if (duringAttempt) {
            reservation.notifyReleasedDuringAttempt();
        }
    }

    private void cancelHoldTimer(StateReservation reservation) {
        if (reservation.hasHoldTimer()) {
            scheduler.cancel(reservation.clearHoldTimer());
        }
    }

    private void scheduleReleaseOrRemove(StateReservation reservation) {
        scheduler.execute(() -> releaseOrRemove(reservation));
    }

    /**
     * Sends a release that is requested once nothing can be fetched any more. A release names the
     * whole request; sent earlier than it has to be, it could free the state that an attempt on its
     * way is to fetch.
     */
    private void releaseOrRemove(StateReservation reservation) {
        if (reservation.isReleaseRequested()
                && !reservation.isReleasing()
                && !reservation.mayBeFetched()) {
            startRelease(reservation, ReleaseMode.AFTER_ATTEMPTS);
        } else if (reservation.isIdle()) {
            remove(reservation);
        }
    }

    private void remove(StateReservation reservation) {
        cancelHoldTimer(reservation);
        reservations.remove(reservation.requestId(), reservation);
    }

    private void startRelease(StateReservation reservation, ReleaseMode mode) {
        reservation.releaseStarted(mode, scheduler.nowMs());
        sendToNextEndpoint(reservation);
    }

    private void sendToNextEndpoint(StateReservation reservation) {
        Set<Endpoint> tried = reservation.triedEndpoints();
        Endpoint endpoint =
                tried.size() < MAX_TRIES
                        ? transport.nextEndpoint(reservation.holder(), tried)
                        : null;
        if (endpoint == null) {
            endpointsExhausted(reservation);
            return;
        }
        reservation.recordTry(endpoint);
        transport.release(
                endpoint,
                reservation.requestId(),
                reservation.isReleasingDuringAttempt() ? duringAttemptTryTimeoutMs : tryTimeoutMs,
                result -> tryCompleted(reservation, result));
    }

    private void tryCompleted(StateReservation reservation, ControlCallResult result) {
        boolean stillNeeded =
                reservation.isReleasingDuringAttempt()
                        ? !reservation.hasResponseStarted()
                        : !reservation.mayBeFetched();
        if (result == ControlCallResult.ANSWERED) {
            if (!reservation.mayBeFetched()) {
                reservation.markReleased();
                cancelHoldTimer(reservation);
            }
            // Else a state that a request in an engine's queue waits for stays, and is released
            // after that attempt's end.
            releaseEnded(reservation);
        } else if (stillNeeded) {
            if (result == ControlCallResult.NOT_SENT) {
                reservation.recordUnsentTry();
            }
            sendToNextEndpoint(reservation);
        } else {
            reservation.requestReleaseAgain();
            releaseEnded(reservation);
        }
    }

    /**
     * No engine has taken it. Where this machine could not send, for want of a descriptor or a
     * buffer, that passes: all are tried anew a little later.
     */
    private void endpointsExhausted(StateReservation reservation) {
        double sinceStartMs = scheduler.nowMs() - reservation.releaseStartMs();
        if (reservation.hasUnsentTry() && sinceStartMs < LOCAL_FAILURE_RETRY_FACTOR * stateHoldMs) {
            reservation.clearTries();
            scheduler.schedule(tryTimeoutMs, () -> sendToNextEndpoint(reservation));
            return;
        }
        LOG.atWarn()
                .addKeyValue("id", reservation.requestId())
                .log("no engine took a release; the state is left to its engine");
        releaseEnded(reservation);
    }

    private void releaseEnded(StateReservation reservation) {
        reservation.releaseEnded();
        scheduleReleaseOrRemove(reservation);
    }
}
