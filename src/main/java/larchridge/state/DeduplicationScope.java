package larchridge.state;

/** The set of engines that drops repeats of a deduplicated generation. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    RACK
}
