package larchridge.node.upstream;

import java.util.HashSet;
import java.util.Set;
import larchridge.upstream.Endpoint;

/**
 * What this node knows of the attempts of one request and of the read state that engines may hold
 * for it. Plain data; the decisions are {@link StateReleaser}'.
 */
final class StateReservation {
    final String requestId;

    /** Attempts whose end has not been told. */
    int attemptsOut;

    /** The answer has begun: nothing is left to be fetched. */
    boolean begun;

    /** A release was asked for and has not been sent. */
    boolean releaseOwed;

    /** A release is under way. */
    boolean releasing;

    /**
     * The release under way was sent because the time for a held state was running out, beside an
     * attempt.
     */
    boolean releasingBesideAttempt;

    /**
     * When the release under way began, and whether this machine could not send one of its tries.
     */
    double releaseBeganMs;

    boolean notSent;

    /** An engine may hold a state. */
    boolean mayBeHeld;

    /** The timer of the time for which a state may be held, or {@link #NO_TIMER}. */
    long timer = NO_TIMER;

    /** Told when the state is released beside the newest attempt; null where nobody asks. */
    Runnable onReleasedBesideAttempt;

    /** Engines that the release under way was sent to. */
    final Set<Endpoint> asked = new HashSet<>();

    /** The engine that the read went to, asked first. */
    Endpoint holder;

    static final long NO_TIMER = -1;

    StateReservation(String requestId) {
        this.requestId = requestId;
    }

    /** Whether a release could free a state that an attempt is about to fetch. */
    boolean mayBeFetched() {
        return attemptsOut > 0 && !begun;
    }

    boolean isIdle() {
        return attemptsOut == 0 && !releaseOwed && !releasing && timer == NO_TIMER;
    }
}
