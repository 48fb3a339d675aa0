package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Generation;

/** Tracks read states that readers hold until they are fetched or released. */
final class HeldStates {
    private final PolicyActions actions;

    HeldStates(PolicyActions actions) {
        this.actions = actions;
    }

    /** Records a completed read: its state is to be fetched, unless another state already is. */
    void recordHeld(Attempt read) {
        if (read.generation.readWithHeldState() == null) {
            read.generation.holdState(read);
        }
    }

    /**
     * Records that an answer started: its state was fetched. Other attempts still in flight may
     * leave a state of their own.
     */
    void recordFetched(Generation generation) {
        generation.dropState();
        generation.setStatePossiblyHeld(generation.attemptsInFlight() > 1);
    }

    /** Records that a state was released while the attempt that is to fetch it is in flight. */
    void recordReleasedBeforeFetch(Attempt write) {
        Generation generation = write.generation;
        if (write.isActive() && generation.isUnanswered()) {
            generation.recordStateReleased();
        }
    }

    /**
     * Releases the states held for a generation.
     *
     * <p>Guards against: a release does not free a state that an attempt in flight may still use,
     * so the release is repeated after that attempt.
     */
    void release(Generation generation) {
        if (generation.isStatePossiblyHeld()) {
            generation.setStatePossiblyHeld(generation.attemptsInFlight() > 0);
            actions.releaseState(generation);
        }
        generation.dropState();
    }
}
