package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Generation;

/** The read states that wait at readers to be fetched: held, fetched, released. */
final class StateReservations {
    private final PolicyActions actions;

    StateReservations(PolicyActions actions) {
        this.actions = actions;
    }

    /** A read has completed: its state is to be fetched, unless another one is already. */
    void recordHeld(Attempt read) {
        if (read.generation.heldRead() == null) {
            read.generation.holdState(read);
        }
    }

    /** An answer has started: its state has been fetched; other attempts may still leave one. */
    void recordFetched(Generation generation) {
        generation.dropState();
        generation.setMayHoldState(generation.attemptsInFlight() > 1);
    }

    /** A state has been released beside the attempt that is to fetch it. */
    void recordReleasedBeforeFetch(Attempt write) {
        Generation generation = write.generation;
        if (write.isActive() && generation.isUnanswered()) {
            generation.recordStateReleased();
        }
    }

    /**
     * Releases what is held for a generation.
     *
     * <p>Guards against: a release frees nothing that an attempt still in flight may take; it is
     * repeated after that.
     */
    void release(Generation generation) {
        if (generation.mayHoldState()) {
            generation.setMayHoldState(generation.attemptsInFlight() > 0);
            actions.releaseState(generation);
        }
        generation.dropState();
    }
}
