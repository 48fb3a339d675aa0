package larchridge.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** LRU cache of prefixes by id. */
public final class PrefixRegistry extends LinkedHashMap<String, CachedPrefix> {
    private static final long serialVersionUID = 1;

    /** Bounds the memory that clients can make the router use. */
    private static final int MAX_PREFIXES = 20_000;

    /** Creates an empty registry. */
    public PrefixRegistry() {
        super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, CachedPrefix> eldest) {
        return size() > MAX_PREFIXES;
    }
}
