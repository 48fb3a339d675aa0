package larchridge.node.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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
 * to a connection may never have arrived there, and nothing tells. So the time is taken to run on
 * until an attempt is heard of, and the release is sent when most of it is over, whether or not an
 * attempt is out. That is harmless where the attempt did arrive: an engine frees no state that a
 * request in its queue waits for. Where it did not arrive, the state is freed in time; an attempt
 * that arrives later is declined with the engine's word that there is no state, and the prompt is
 * read again.
 */
final class StateReleaser {
    /** A release is tried this many times within the time that a state may be held. */
    private static final int TRIES_IN_TIME = 5;

    /** One beside an attempt begins late, and is tried this many times up to the latest moment. */
    private static final int LATE_TRIES = 4;

    /** Releases are tried this many times in all, each at another engine. */
    private static final int TRIES_MOST = 10;

    /** The platform counts a state as held too long only so much after its time. */
    private static final double SLACK_MS = 300;

    /** Requests that are tracked at a time. */
    static final int MOST_REQUESTS = 20_000;

    /**
     * Sent at this part of the time for a held state; the rest is for tries at engines that do not
     * answer.
     */
    private static final double RELEASE_PART = 0.85;

    /** For so many times that time a release is tried again that this machine could not send. */
    private static final double LOCAL_FAULT_PART = 5;

    private static final Logger LOG = LoggerFactory.getLogger(StateReleaser.class);

    private final Scheduler ground;
    private final double releaseMs;

    /** For so long an engine may answer a release before another is asked. */
    private final double tryMs;

    private final double lateTryMs;
    private final Transport transport;

    /** What is open of each request, by the client's id. */
    private final Map<String, StateReservation> byRequest = new HashMap<>();

    /** How releases reach engines. */
    interface Transport {
        /**
         * Asks an engine to release all that is held for a request; tells the result, never from
         * inside the call.
         */
        void release(
                Endpoint endpoint,
                String requestId,
                double limitMs,
                Consumer<ControlCallResult> told);

        /** The engine to ask next, or null if all have been asked. */
        Endpoint next(Endpoint holder, Set<Endpoint> asked);
    }

    StateReleaser(Scheduler ground, double releaseMs, Transport transport) {
        this.ground = ground;
        this.releaseMs = releaseMs;
        this.transport = transport;
        tryMs = releaseMs / TRIES_IN_TIME;
        lateTryMs = Math.min(tryMs, ((1 - RELEASE_PART) * releaseMs + SLACK_MS) / LATE_TRIES);
    }

    // ------------------------------------------------------------------ what happens to attempts

    /** An attempt of a request begins. */
    StateReservation attemptStarted(String requestId) {
        StateReservation held = byRequest.computeIfAbsent(requestId, StateReservation::new);
        held.attemptsOut++;
        return held;
    }

    /** A read has ended well: its engine holds the state. */
    void readEnded(StateReservation held) {
        held.attemptsOut--;
        startTimer(held);
        settle(held);
    }

    /** An answer has begun, and has fetched what was held. */
    void answerBegan(StateReservation held) {
        held.begun = true;
        held.mayBeHeld = false;
        stopTimer(held);
    }

    /**
     * An attempt has ended otherwise; heard tells whether its engine answered anything, so that it
     * had arrived there.
     */
    void attemptEnded(StateReservation held, boolean heard) {
        held.attemptsOut--;
        // Released beside it, the state may have stayed for this attempt alone, and is held anew
        // from now on.
        boolean releasedBefore = held.timer == StateReservation.NO_TIMER;
        if (held.mayBeHeld && (heard || releasedBefore)) {
            stopTimer(held);
            startTimer(held);
        }
        settle(held);
    }

    // ------------------------------------------------------------------ releases

    /** Nothing of the request's state is wanted any more. */
    void release(String requestId, Endpoint holder) {
        StateReservation held = byRequest.get(requestId);
        if (held == null) {
            if (byRequest.size() >= MOST_REQUESTS) {
                LOG.atWarn()
                        .addKeyValue("id", requestId)
                        .log("too many releases under way; a state is left to its engine");
                return;
            }
            held = new StateReservation(requestId);
            byRequest.put(requestId, held);
        }
        held.releaseOwed = true;
        held.holder = holder;
        if (held.mayBeFetched() && held.timer == StateReservation.NO_TIMER) {
            startTimer(held);
        }
        settle(held);
    }

    boolean isReleasing() {
        return byRequest.values().stream().anyMatch(held -> held.releaseOwed || held.releasing);
    }

    int openRequests() {
        return byRequest.size();
    }

    /** The time of an older state runs on where there is one. */
    private void startTimer(StateReservation held) {
        held.mayBeHeld = true;
        if (held.timer != StateReservation.NO_TIMER) {
            return;
        }
        held.timer =
                ground.schedule(
                        RELEASE_PART * releaseMs,
                        () -> {
                            held.timer = StateReservation.NO_TIMER;
                            if (held.mayBeHeld && !held.releasing) {
                                LOG.atDebug()
                                        .addKeyValue("id", held.requestId)
                                        .addKeyValue("attempts", held.attemptsOut)
                                        .log(
                                                "releases a state before its time is over, beside attempts that were not heard of");
                                boolean beside = held.mayBeFetched();
                                begin(held, beside);
                                if (beside && held.onReleasedBesideAttempt != null) {
                                    held.onReleasedBesideAttempt.run();
                                }
                            }
                        });
    }

    private void stopTimer(StateReservation held) {
        if (held.timer != StateReservation.NO_TIMER) {
            ground.cancel(held.timer);
            held.timer = StateReservation.NO_TIMER;
        }
    }

    /**
     * Sends a release that is owed once nothing can be fetched any more. A release names the whole
     * request; sent earlier than it has to be, it could free the state that an attempt on its way
     * is to fetch.
     */
    private void settle(StateReservation held) {
        ground.execute(
                () -> {
                    if (held.releaseOwed && !held.releasing && !held.mayBeFetched()) {
                        begin(held, false);
                    } else if (held.isIdle()) {
                        forget(held);
                    }
                });
    }

    private void forget(StateReservation held) {
        stopTimer(held);
        byRequest.remove(held.requestId, held);
    }

    private void begin(StateReservation held, boolean besideAttempt) {
        held.releaseOwed = false;
        held.releasing = true;
        held.releasingBesideAttempt = besideAttempt;
        held.releaseBeganMs = ground.nowMs();
        held.notSent = false;
        held.asked.clear();
        tryNext(held);
    }

    private void tryNext(StateReservation held) {
        Endpoint endpoint =
                held.asked.size() < TRIES_MOST ? transport.next(held.holder, held.asked) : null;
        if (endpoint == null) {
            allAsked(held);
            return;
        }
        held.asked.add(endpoint);
        transport.release(
                endpoint,
                held.requestId,
                held.releasingBesideAttempt ? lateTryMs : tryMs,
                result -> told(held, result));
    }

    private void told(StateReservation held, ControlCallResult result) {
        boolean goesOn = held.releasingBesideAttempt ? !held.begun : !held.mayBeFetched();
        if (result == ControlCallResult.ANSWERED) {
            if (!held.mayBeFetched()) {
                held.mayBeHeld = false;
                stopTimer(held);
            }
            // Else a state that a request in an engine's queue waits for stays, and is released
            // after that attempt's end.
            ended(held);
        } else if (goesOn) {
            held.notSent |= result == ControlCallResult.NOT_SENT;
            tryNext(held);
        } else {
            held.releaseOwed |= !held.begun;
            ended(held);
        }
    }

    /**
     * No engine has taken it. Where this machine could not send, for want of a descriptor or a
     * buffer, that passes: all are asked anew a little later.
     */
    private void allAsked(StateReservation held) {
        if (held.notSent && ground.nowMs() - held.releaseBeganMs < LOCAL_FAULT_PART * releaseMs) {
            held.notSent = false;
            held.asked.clear();
            ground.schedule(tryMs, () -> tryNext(held));
            return;
        }
        LOG.atWarn()
                .addKeyValue("id", held.requestId)
                .log("no engine took a release; the state is left to its engine");
        ended(held);
    }

    private void ended(StateReservation held) {
        held.releasing = false;
        settle(held);
    }
}
