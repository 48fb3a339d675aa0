package larchridge.tokens;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts the tokens of one text and of a prefix of it, chunk by chunk: keeps the counts known from
 * the cache, counts the missing chunks and estimates those not counted. The prefix consists of the
 * text's own chunks, except for the chunk in which the prefix ends: the part of that chunk that
 * belongs to the prefix is counted separately, in addition to the whole chunk.
 */
public final class TokenCountTask {
    /**
     * Longer chunks are estimated, not counted, because counting a chunk can't be cancelled. Such a
     * chunk is a long stretch of text without a chunk boundary.
     */
    static final int MAX_COUNTED_CHUNK_CHARS = 256 << 10;

    private final String text;
    private final Vocabulary vocabulary;
    private final TokenCountCache cache;
    private final List<Chunk> chunks = new ArrayList<>();

    /** Number of chunks that end within the prefix. */
    private int wholeChunksInPrefix;

    /** The rest of the prefix, after its whole chunks. */
    private final Chunk prefixTail;

    private volatile boolean cancelled;

    /**
     * A chunk; key is null if the chunk is empty or longer than MAX_COUNTED_CHUNK_CHARS, tokens is
     * negative until its count is known.
     */
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

        int charsToCount() {
            return tokens < 0 && key != null ? to - from : 0;
        }
    }

    /**
     * Looks up the chunks of a text in the cache. The keys are digests of the chunks, so that this
     * takes time in proportion to the length of the text.
     *
     * @param prefixChars length of the prefix that is counted, too
     */
    public TokenCountTask(
            String text, int prefixChars, Vocabulary vocabulary, TokenCountCache cache) {
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
        if (from == to || to - from > MAX_COUNTED_CHUNK_CHARS) {
            return new Chunk(from, to, null);
        }
        Chunk chunk =
                new Chunk(
                        from, to, TokenCountCache.key(text.substring(from, to), vocabulary.name()));
        chunk.tokens = cache.get(chunk.key);
        return chunk;
    }

    /**
     * The number of characters that {@link #countMissing} would count. Chunks that are too long to
     * be counted are not included.
     */
    public int charsToCount() {
        return chunks.stream().mapToInt(Chunk::charsToCount).sum() + prefixTail.charsToCount();
    }

    /**
     * Counts the missing chunks and records the time taken and the tokens per character of the text
     * in the statistics. May run on any thread.
     *
     * @return false if the task was cancelled
     */
    public boolean countMissing(CountingStatistics statistics) {
        long start = System.nanoTime();
        int countedChars = 0;
        for (int i = 0; i <= chunks.size(); i++) {
            if (cancelled) {
                return false;
            }
            Chunk chunk = i < chunks.size() ? chunks.get(i) : prefixTail;
            if (chunk.charsToCount() > 0) {
                chunk.tokens = vocabulary.count(text.substring(chunk.from, chunk.to));
                cache.put(chunk.key, chunk.tokens);
                countedChars += chunk.to - chunk.from;
            }
        }
        if (countedChars > 0) {
            int knownTokens = 0;
            int knownChars = 0;
            for (Chunk chunk : chunks) {
                knownTokens += Math.max(0, chunk.tokens);
                knownChars += chunk.tokens < 0 ? 0 : chunk.to - chunk.from;
            }
            statistics.recordCount(
                    countedChars, System.nanoTime() - start, knownTokens, knownChars);
        }
        return true;
    }

    /** Cancels the task of a client that disconnected; a running count stops at the next chunk. */
    public void cancel() {
        cancelled = true;
    }

    /**
     * The tokens of the text: exact if every chunk has been counted. Otherwise the other chunks are
     * estimated.
     *
     * @param tokensPerChar the ratio used for the estimate
     */
    public TokenCount tokenCount(double tokensPerChar) {
        return total(chunks, tokensPerChar);
    }

    /** The tokens of the prefix, counted or estimated likewise. */
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

    /** Bytes of a chunk in UTF-8. */
    private int utf8Bytes(Chunk chunk) {
        int bytes = 0;
        for (int i = chunk.from; i < chunk.to; i++) {
            char c = text.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }
}
