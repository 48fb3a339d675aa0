package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A prompt prefix that readers may have cached: a session's prompts so far, or a prefix shared by
 * several sessions. Tracks which engines this router has sent it to.
 */
public final class CachedPrefix {
    /** Id of the prefix, the same on every router. */
    public final String id;

    private final List<Copy> copies = new ArrayList<>(2);

    private record Copy(Engine engine, double sentMs, int tokens) {}

    /** Creates a prefix that has not been sent to any engine. */
    public CachedPrefix(String id) {
        this.id = id;
    }

    /** Records that this many tokens were sent to an engine, which becomes the last reader. */
    public void recordSent(Engine engine, int tokens, double nowMs) {
        copies.removeIf(
                copy -> copy.engine == engine || copy.sentMs < copy.engine.cacheValidSinceMs());
        copies.add(new Copy(engine, nowMs, tokens));
    }

    /** Tokens of the prefix sent to an engine since that engine last lost its cache. */
    public int cachedTokensAt(Engine engine) {
        for (Copy copy : copies) {
            if (copy.engine == engine && copy.sentMs >= engine.cacheValidSinceMs()) {
                return copy.tokens;
            }
        }
        return 0;
    }

    /** The engine that read this prefix last, or null if it has lost its cache since. */
    public Engine lastReader() {
        if (copies.isEmpty()) {
            return null;
        }
        Copy last = copies.get(copies.size() - 1);
        return last.sentMs >= last.engine.cacheValidSinceMs() ? last.engine : null;
    }

    /** Rendezvous-hashing weight of an engine for this prefix, the same on every router. */
    public long rendezvousWeight(Engine engine) {
        long mixed = id.hashCode() * 0x9E3779B97F4A7C15L ^ engine.id * 0xC2B2AE3D27D4EB4FL;
        mixed = (mixed ^ mixed >>> 31) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
