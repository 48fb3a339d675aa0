package larchridge.tokens;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * What parts of texts counted, by the digest of the part. Shared by the fronts of a process;
 * reading takes no lock. It holds so many bytes at most; what is asked for often stays when much
 * comes that is asked for once (W-TinyLFU).
 */
public final class TokenCountCache {
    /** What an entry takes: key, count, node, and its place in the table. */
    static final int ENTRY_BYTES = 160;

    private final Cache<Key, Integer> counts;

    record Key(long high, long low, String vocabulary) {}

    public TokenCountCache(long maxBytes) {
        counts =
                Caffeine.newBuilder()
                        .maximumSize(Math.max(1, maxBytes / ENTRY_BYTES))
                        .recordStats()
                        .build();
    }

    /**
     * A key that only the same part has: half of a SHA-256, so that nobody can make another part
     * with it.
     */
    static Key key(String chunk, String vocabulary) {
        try {
            ByteBuffer digest =
                    ByteBuffer.wrap(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(chunk.getBytes(StandardCharsets.UTF_8)));
            return new Key(digest.getLong(), digest.getLong(), vocabulary);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /** The count of a part, or -1. */
    int get(Key key) {
        Integer count = counts.getIfPresent(key);
        return count == null ? -1 : count;
    }

    void put(Key key, int count) {
        counts.put(key, count);
    }

    /** Does what is put off: evictions. */
    void cleanUp() {
        counts.cleanUp();
    }

    /** How many look-ups found a count so far. */
    public long hits() {
        return counts.stats().hitCount();
    }

    public long misses() {
        return counts.stats().missCount();
    }

    public long size() {
        return counts.estimatedSize();
    }
}
