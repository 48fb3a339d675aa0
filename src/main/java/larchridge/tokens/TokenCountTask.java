package larchridge.tokens;

import java.util.ArrayList;
import java.util.List;

/**
 * The count of one text, and of its beginning up to a mark, on its way: what is known already, and
 * what is still to be counted. The beginning has the text's own parts but for the one in which the
 * mark stands.
 */
public final class TokenCountTask {
    /**
     * A part longer than this has no place to be cut and is not counted: nothing could call that
     * off.
     */
    static final int MAX_CHUNK_CHARS = 256 << 10;

    private final String text;
    private final Vocabulary vocabulary;
    private final TokenCountCache cache;
    private final List<Chunk> chunks = new ArrayList<>();

    /** How many parts end before the mark, and the piece from there to it. */
    private int wholeChunksInPrefix;

    private final Chunk prefixTail;
    private volatile boolean cancelled;

    /** A part; key is null where it can't be counted, toks is under 0 until it is known. */
    private static final class Chunk {
        final int from;
        final int to;
        final TokenCountCache.Key key;
        int tokens = -1;

        Chunk(int from, int to, TokenCountCache.Key key) {
            this.from = from;
            this.to = to;
            this.key = key;
        }

        int uncountedChars() {
            return tokens < 0 && key != null ? to - from : 0;
        }
    }

    /** Looks up the parts of a text; costs a digest of it. */
    public TokenCountTask(String text, int prefixChars, Vocabulary vocabulary, TokenCountCache cache) {
        this.text = text;
        this.vocabulary = vocabulary;
        this.cache = cache;
        int tailFrom = 0;
        for (int from = 0; from < text.length(); ) {
            int to = TextChunker.chunkEnd(text, from);
            chunks.add(chunk(from, to));
            if (to <= prefixChars) {
                wholeChunksInPrefix++;
                tailFrom = to;
            }
            from = to;
        }
        prefixTail = chunk(tailFrom, Math.max(tailFrom, prefixChars));
    }

    private Chunk chunk(int from, int to) {
        if (from == to || to - from > MAX_CHUNK_CHARS) {
            return new Chunk(from, to, null);
        }
        Chunk chunk = new Chunk(from, to, TokenCountCache.key(text.substring(from, to), vocabulary.name()));
        chunk.tokens = cache.get(chunk.key);
        return chunk;
    }

    /** Characters that would have to be counted. */
    public int uncountedChars() {
        return chunks.stream().mapToInt(Chunk::uncountedChars).sum() + prefixTail.uncountedChars();
    }

    /**
     * Counts what is missing, on any thread; false if it was called off. How long that took goes to
     * the pace.
     */
    public boolean countMissing(CountingRate rate) {
        long start = System.nanoTime();
        int newChars = 0;
        for (int i = 0; i <= chunks.size(); i++) {
            if (cancelled) {
                return false;
            }
            Chunk chunk = i < chunks.size() ? chunks.get(i) : prefixTail;
            if (chunk.uncountedChars() > 0) {
                chunk.tokens = vocabulary.count(text.substring(chunk.from, chunk.to));
                cache.put(chunk.key, chunk.tokens);
                newChars += chunk.to - chunk.from;
            }
        }
        if (newChars > 0) {
            int tokens = 0;
            int textChars = 0;
            for (Chunk chunk : chunks) {
                tokens += Math.max(0, chunk.tokens);
                textChars += chunk.tokens < 0 ? 0 : chunk.to - chunk.from;
            }
            rate.recordCount(newChars, System.nanoTime() - start, tokens, textChars);
        }
        return true;
    }

    /** Whoever asked has left; a count that runs ends at the next part. */
    public void cancel() {
        cancelled = true;
    }

    /**
     * What is known now of the text: the count if nothing is missing, a guess for the rest at so
     * many tokens a character.
     */
    public TokenCount tokenCount(double tokensPerChar) {
        return total(chunks, tokensPerChar);
    }

    /** The same of its beginning. */
    public TokenCount prefixTokenCount(double tokensPerChar) {
        List<Chunk> prefixChunks = new ArrayList<>(chunks.subList(0, wholeChunksInPrefix));
        prefixChunks.add(prefixTail);
        return total(prefixChunks, tokensPerChar);
    }

    private TokenCount total(List<Chunk> selected, double tokensPerChar) {
        int countedTokens = 0;
        int uncountedChars = 0;
        int uncountedBytes = 0;
        for (Chunk chunk : selected) {
            if (chunk.tokens >= 0) {
                countedTokens += chunk.tokens;
            } else {
                uncountedChars += chunk.to - chunk.from;
                uncountedBytes += utf8Bytes(chunk);
            }
        }
        int lowerBound =
                countedTokens
                        + (uncountedChars == 0
                                ? 0
                                : Math.max(1, uncountedBytes / vocabulary.maxTokenBytes()));
        int upperBound = countedTokens + uncountedBytes;
        double estimate = countedTokens + tokensPerChar * uncountedChars;
        return new TokenCount(
                (int) Math.max(lowerBound, Math.min(upperBound, Math.round(estimate))),
                lowerBound,
                upperBound,
                uncountedChars == 0);
    }

    /** Bytes of a part as UTF-8. */
    private int utf8Bytes(Chunk chunk) {
        int bytes = 0;
        for (int i = chunk.from; i < chunk.to; i++) {
            char c = text.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }
}
