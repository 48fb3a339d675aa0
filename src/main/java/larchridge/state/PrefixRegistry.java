package larchridge.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** Prefixes by id; when there are too many to keep, the least recently used is dropped. */
public final class PrefixRegistry extends LinkedHashMap<String, CachedPrefix> {
    private static final long serialVersionUID = 1;

    /** The most prefixes that are kept, so that memory is bounded whatever clients send. */
    private static final int MAX_PREFIXES = 20_000;

    /** A registry without prefixes. */
    public PrefixRegistry() {
        super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, CachedPrefix> eldest) {
        return size() > MAX_PREFIXES;
    }
}
