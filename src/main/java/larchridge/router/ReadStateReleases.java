package larchridge.router;

import larchridge.state.Generation;

/** Releases the states that reads have left at their engines and that no attempt is to fetch. */
final class ReadStateReleases {
    private final RouterContext context;

    ReadStateReleases(RouterContext context) {
        this.context = context;
    }

    /** Releases every state of a generation whose read has ended and that no attempt waits for. */
    void releaseUnclaimed(Generation generation) {
        InFlightRequest request = context.requests.get(generation);
        if (request == null) {
            return;
        }
        for (InFlightAttempt attempt : request.attempts()) {
            if (attempt.holdsState() && attempt.isEnded() && !request.isStateClaimed(attempt)) {
                release(attempt);
            }
        }
    }

    /** Releases the state that this read holds, or may hold. */
    void release(InFlightAttempt attempt) {
        attempt.markStateRemoved();
        context.upstream.release(attempt.endpoint(), attempt.attemptId());
    }

    /** How many states are held, or may be, for all requests in flight. */
    int heldStates() {
        int held = 0;
        for (InFlightRequest request : context.requests.values()) {
            for (InFlightAttempt attempt : request.attempts()) {
                held += attempt.holdsState() ? 1 : 0;
            }
        }
        return held;
    }
}
