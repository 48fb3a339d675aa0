package larchridge.front;

import larchridge.enginelink.EngineLink;
import larchridge.enginelink.Spot;
import larchridge.enginelink.StateHandle;
import larchridge.state.Attempt;

/** The front's side of an attempt: where it went, what it holds there, and the way to stop it. */
final class Trip {
    final Attempt attempt;
    final Spot spot;
    final String rid;

    /** The read whose state this attempt is to fetch, or null. */
    final Trip source;

    EngineLink.Flight flight;
    StateHandle state;

    /** Whether a state waits, or may wait, at the engine and nobody has let go of it. */
    boolean holds;

    boolean ended;

    /** What its read counts as, or 0 if it has not read. */
    long readToks;

    int keptToks;

    Trip(Attempt attempt, Spot spot, String rid, Trip source) {
        this.attempt = attempt;
        this.spot = spot;
        this.rid = rid;
        this.source = source;
    }
}
