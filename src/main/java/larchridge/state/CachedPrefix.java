package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A text that readers may have kept: a session's prompts so far, or a beginning that sessions
 * share.
 */
public final class CachedPrefix {
    public final String label;
    private final List<Copy> copies = new ArrayList<>(2);

    private record Copy(Engine engine, double sentMs, int toks) {}

    public CachedPrefix(String label) {
        this.label = label;
    }

    /**
     * Notes that this many tokens of the text go to an engine, which is its last reader from now
     * on.
     */
    public void sentTo(Engine engine, int toks, double nowMs) {
        copies.removeIf(copy -> copy.engine == engine || copy.sentMs < copy.engine.textsSinceMs);
        copies.add(new Copy(engine, nowMs, toks));
    }

    /** How much of it an engine was sent since it last lost its texts. */
    public int toksAt(Engine engine) {
        for (Copy copy : copies) {
            if (copy.engine == engine && copy.sentMs >= engine.textsSinceMs) {
                return copy.toks;
            }
        }
        return 0;
    }

    /** The engine that read this text last, or null if that has lost its texts since. */
    public Engine keeper() {
        if (copies.isEmpty()) {
            return null;
        }
        Copy last = copies.get(copies.size() - 1);
        return last.sentMs >= last.engine.textsSinceMs ? last.engine : null;
    }

    /** A fixed figure for this text and an engine, alike at every front. */
    public long affinity(Engine engine) {
        long mixed = label.hashCode() * 0x9E3779B97F4A7C15L ^ engine.label * 0xC2B2AE3D27D4EB4FL;
        mixed = (mixed ^ mixed >>> 31) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
