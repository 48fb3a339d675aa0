package larchridge.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** Texts by id; the one unused for longest goes when there are too many to keep. */
public final class PrefixRegistry extends LinkedHashMap<String, CachedPrefix> {
    private static final long serialVersionUID = 1;
    private static final int MOST = 20_000;

    public PrefixRegistry() {
        super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, CachedPrefix> eldest) {
        return size() > MOST;
    }
}
