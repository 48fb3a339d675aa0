package larchridge.faultinjection;

/**
 * Faults that the rig plants outside the nodes, to show that its judgement sees what each trouble
 * could bring about.
 */
public enum PlantedFault {
    NONE,
    /** Engines answer releases and release nothing: seen as rule 5. */
    RELEASES_IGNORED,
    /** Every other answer is taken off the wire before its client sees it: seen as rule 1. */
    ANSWERS_DROPPED,
    /** Engines run each request twice: seen as rule 2. */
    RUNS_TWICE,
    /**
     * Agents tell of drains a second late, and are judged as though they had told at once: seen as
     * rule 3.
     */
    DRAINS_TOLD_LATE,
    /**
     * Engines that start anew bear hardly anything, and no list tells of their start: seen as rule
     * 4.
     */
    COLD_STARTS_HIDDEN,
    /** Nodes are killed where they should be told to end: seen as rule 1. */
    KILLED_FOR_TERM,
    /** Pauses last for seconds: seen as rule 1. */
    LONG_PAUSES,
    /** Discovery moves, and nobody signals: seen as rule 3, or by the last look at each node. */
    NO_SIGNAL,
    /** System calls go on failing: seen by the last look at each node. */
    CALLS_STAY_BROKEN,
    /** Nodes end by themselves: seen as crashes. */
    CRASHES
}
