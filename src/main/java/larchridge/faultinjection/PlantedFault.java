package larchridge.faultinjection;

/**
 * Faults that the harness plants outside the nodes, to show that its checks detect the failures
 * that each kind of fault could cause.
 */
public enum PlantedFault {
    NONE,
    /**
     * Engines acknowledge releases without releasing anything: detected as a violation of rule 5.
     */
    RELEASES_IGNORED,
    /**
     * Every other response is discarded before its client sees it: detected as a violation of rule
     * 1.
     */
    ANSWERS_DROPPED,
    /** Engines run each request twice: detected as a violation of rule 2. */
    RUNS_TWICE,
    /**
     * Agents announce drains one second late, but are treated as if they announced them at once:
     * detected as a violation of rule 3.
     */
    DRAINS_TOLD_LATE,
    /**
     * Restarted engines count as having almost no capacity, and no endpoint list announces their
     * restart: detected as a violation of rule 4.
     */
    COLD_STARTS_HIDDEN,
    /** Nodes are killed instead of terminated: detected as a violation of rule 1. */
    KILLED_FOR_TERM,
    /** Pauses last for seconds: detected as a violation of rule 1. */
    LONG_PAUSES,
    /**
     * The discovery agent moves without a signal to the node: detected as a violation of rule 3, or
     * by the recovery check.
     */
    NO_SIGNAL,
    /** System calls keep failing: detected by the recovery check. */
    CALLS_STAY_BROKEN,
    /** Nodes exit unexpectedly: detected as crashes. */
    CRASHES
}
