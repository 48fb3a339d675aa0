package larchridge.emulator;

import java.util.Arrays;

/**
 * A prompt as an engine caches it: each full block has a hash of the whole prompt up to its end, so
 * that prompts with an equal prefix have equal hashes for it.
 */
public final class Prompt {
    public final int tokens;
    final long[] blockHashes;

    private Prompt(int tokens, long[] blockHashes) {
        this.tokens = tokens;
        this.blockHashes = blockHashes;
    }

    /**
     * Creates a prompt from consecutive segments of text.
     *
     * @param segmentIds an id for each segment; equal ids mean equal text
     * @param segmentTokens the number of tokens of each segment
     * @param blockTokens tokens per memory block
     */
    public static Prompt of(long[] segmentIds, int[] segmentTokens, int blockTokens) {
        int tokens = Arrays.stream(segmentTokens).sum();
        long[] blockHashes = new long[tokens / blockTokens];
        int segment = 0;
        int segmentStart = 0;
        long hash = 0x9E3779B97F4A7C15L;
        for (int i = 0; i < blockHashes.length; i++) {
            int blockStart = i * blockTokens;
            int blockEnd = blockStart + blockTokens;
            while (segmentStart + segmentTokens[segment] <= blockStart) {
                segmentStart += segmentTokens[segment++];
            }
            // Hash the part of each segment that lies in this block.
            int position = blockStart;
            int current = segment;
            int currentStart = segmentStart;
            while (position < blockEnd) {
                int end = Math.min(blockEnd, currentStart + segmentTokens[current]);
                hash =
                        mix(
                                hash
                                        ^ mix(segmentIds[current] * 31 + (position - currentStart))
                                                + (end - position));
                position = end;
                currentStart += segmentTokens[current++];
            }
            blockHashes[i] = hash;
        }
        return new Prompt(tokens, blockHashes);
    }

    private static long mix(long x) {
        long z = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
