package larchridge.router;

import larchridge.state.Attempt;
import larchridge.upstream.Endpoint;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;

/** The front's side of an attempt: where it went, what it holds there, and the way to stop it. */
final class InFlightAttempt {
    final Attempt attempt;
    final Endpoint spot;
    final String rid;

    /** The read whose state this attempt is to fetch, or null. */
    final InFlightAttempt source;

    UpstreamClient.AttemptHandle flight;
    StateHandle state;

    /** Whether a state waits, or may wait, at the engine and nobody has let go of it. */
    boolean holds;

    boolean ended;

    /** What its read counts as, or 0 if it has not read. */
    long readTokens;

    int keptTokens;

    InFlightAttempt(Attempt attempt, Endpoint endpoint, String rid, InFlightAttempt source) {
        this.attempt = attempt;
        this.spot = endpoint;
        this.rid = rid;
        this.source = source;
    }
}
