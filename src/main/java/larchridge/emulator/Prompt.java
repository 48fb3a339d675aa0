package larchridge.emulator;

import java.util.Arrays;

/**
 * A prompt as an engine keeps it: for each whole block a hash of all up to its end, so that equal
 * beginnings are equal.
 */
public final class Prompt {
    public final int tokens;
    final long[] blocks;

    private Prompt(int tokens, long[] blocks) {
        this.tokens = tokens;
        this.blocks = blocks;
    }

    /**
     * Of texts that follow each other.
     *
     * @param texts what each text is, the same number for the same text
     * @param length tokens of each
     */
    public static Prompt of(long[] texts, int[] length, int blockTokens) {
        int tokens = Arrays.stream(length).sum();
        long[] blocks = new long[tokens / blockTokens];
        int text = 0;
        int begun = 0;
        long hash = 0x9E3779B97F4A7C15L;
        for (int i = 0; i < blocks.length; i++) {
            int from = i * blockTokens;
            int to = from + blockTokens;
            while (begun + length[text] <= from) {
                begun += length[text++];
            }
            // What of which texts is in this block.
            int at = from;
            int one = text;
            int oneBegun = begun;
            while (at < to) {
                int end = Math.min(to, oneBegun + length[one]);
                hash = mix(hash ^ mix(texts[one] * 31 + (at - oneBegun)) + (end - at));
                at = end;
                oneBegun += length[one++];
            }
            blocks[i] = hash;
        }
        return new Prompt(tokens, blocks);
    }

    private static long mix(long x) {
        long z = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
