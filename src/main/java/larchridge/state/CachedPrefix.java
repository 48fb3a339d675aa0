package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A text that readers may have cached: a session's prompts so far, or a beginning that sessions
 * share. It remembers what this router has sent where.
 */
public final class CachedPrefix {
    /** Its id, alike at every router. */
    public final String id;

    private final List<Copy> copies = new ArrayList<>(2);

    private record Copy(Engine engine, double sentMs, int tokens) {}

    /** A text that was sent nowhere yet. */
    public CachedPrefix(String id) {
        this.id = id;
    }

    /**
     * Notes that this many tokens of the text go to an engine, which is its last reader from now
     * on.
     */
    public void recordSent(Engine engine, int tokens, double nowMs) {
        copies.removeIf(copy -> copy.engine == engine || copy.sentMs < copy.engine.cacheValidSinceMs());
        copies.add(new Copy(engine, nowMs, tokens));
    }

    /** How much of it an engine was sent since it last lost its cache. */
    public int cachedTokensAt(Engine engine) {
        for (Copy copy : copies) {
            if (copy.engine == engine && copy.sentMs >= engine.cacheValidSinceMs()) {
                return copy.tokens;
            }
        }
        return 0;
    }

    /** The engine that read this text last, or null if that has lost its cache since. */
    public Engine lastReader() {
        if (copies.isEmpty()) {
            return null;
        }
        Copy last = copies.get(copies.size() - 1);
        return last.sentMs >= last.engine.cacheValidSinceMs() ? last.engine : null;
    }

    /** A fixed figure for this text and an engine, alike at every router. */
    public long rendezvousWeight(Engine engine) {
        long mixed = id.hashCode() * 0x9E3779B97F4A7C15L ^ engine.id * 0xC2B2AE3D27D4EB4FL;
        mixed = (mixed ^ mixed >>> 31) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
