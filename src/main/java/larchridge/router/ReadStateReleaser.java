package larchridge.router;

import larchridge.state.Generation;

/**
 * Releases the states that completed reads left at their engines and that no attempt will fetch.
 */
final class ReadStateReleaser {
    private final RouterContext context;

    ReadStateReleaser(RouterContext context) {
        this.context = context;
    }

    /**
     * Releases every state of a generation whose read has ended and that no attempt is waiting for.
     */
    void releaseUnclaimed(Generation generation) {
        InFlightRequest request = context.requests.get(generation);
        if (request == null) {
            return;
        }
        for (InFlightAttempt attempt : request.attempts()) {
            if (attempt.mayHoldState() && attempt.isEnded() && !request.isStateClaimed(attempt)) {
                release(attempt);
            }
        }
    }

    /** Releases the state that the engine holds, or may hold, for this read. */
    void release(InFlightAttempt attempt) {
        attempt.markStateRemoved();
        context.upstream.release(attempt.endpoint(), attempt.attemptId());
    }

    /** Number of states that are, or may be, held for all requests in flight. */
    int heldStates() {
        int held = 0;
        for (InFlightRequest request : context.requests.values()) {
            for (InFlightAttempt attempt : request.attempts()) {
                held += attempt.mayHoldState() ? 1 : 0;
            }
        }
        return held;
    }
}
