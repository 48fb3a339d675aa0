package larchridge.state;

/** The set of engines that drops repeats of a deduplicated generation. */
public enum DeduplicationScope {
    /** Every engine drops repeats of what any other has run. */
    ALL,
    /** Those of one zone. */
    ZONE,
    /** Those of one rack. */
    RACK
}
