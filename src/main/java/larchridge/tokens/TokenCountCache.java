package larchridge.tokens;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Caches the token counts of text chunks by a digest of the chunk. Shared by the routers of a
 * process; lookups take no lock. The cache is bounded in bytes and evicts by W-TinyLFU, so that
 * many chunks that occur once do not displace chunks that occur often.
 */
public final class TokenCountCache {
    /** Memory of one entry: key, count, cache node and hash table slot. */
    static final int ENTRY_BYTES = 160;

    private final Cache<Key, Integer> counts;

    /** 128 bits of a chunk's SHA-256 digest, and the name of the vocabulary. */
    record Key(long high, long low, String vocabulary) {}

    /** Creates an empty cache that holds up to the given number of bytes. */
    public TokenCountCache(long maxBytes) {
        counts =
                Caffeine.newBuilder()
                        .maximumSize(Math.max(1, maxBytes / ENTRY_BYTES))
                        .recordStats()
                        .build();
    }

    /**
     * The key of a chunk. Half of a SHA-256 digest is collision resistant, so that a client cannot
     * construct another chunk with the same key.
     */
    static Key key(String chunk, String vocabulary) {
        try {
            ByteBuffer digest =
                    ByteBuffer.wrap(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(chunk.getBytes(StandardCharsets.UTF_8)));
            return new Key(digest.getLong(), digest.getLong(), vocabulary);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this Java runtime", e);
        }
    }

    /** The token count of a chunk, or -1 if it is not cached. */
    int get(Key key) {
        Integer count = counts.getIfPresent(key);
        return count == null ? -1 : count;
    }

    void put(Key key, int count) {
        counts.put(key, count);
    }

    /** Runs pending evictions. */
    void cleanUp() {
        counts.cleanUp();
    }

    /** The number of lookups so far that found a count. */
    public long hits() {
        return counts.stats().hitCount();
    }

    /** The number of lookups so far that found no count. */
    public long misses() {
        return counts.stats().missCount();
    }

    /** The approximate number of cached counts. */
    public long size() {
        return counts.estimatedSize();
    }
}
