package larchridge.state;

/** The set of engines that share deduplication of repeated generations. */
public enum DeduplicationScope {
    /** Every engine drops repeats of what any other engine has run. */
    ALL,
    /** Engines of the same zone drop each other's repeats. */
    ZONE,
    /** Engines of the same rack drop each other's repeats. */
    RACK
}
