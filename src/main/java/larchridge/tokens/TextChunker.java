package larchridge.tokens;

/**
 * Splits a text into chunks before a space that follows a letter. With the patterns of {@link
 * PretokenizerPattern}, no token crosses such a boundary, so the tokens of the chunks add up to
 * those of the text. For the pattern and the special tokens of a {@code tokenizer.json} this is not
 * checked. Where a chunk ends does not depend on the text after it, so texts with a common prefix
 * share the chunks of that prefix, and the next turn of a conversation finds the chunks of earlier
 * turns in the cache. Stateless.
 */
public final class TextChunker {
    /** Minimum length of each chunk but the last. */
    public static final int MIN_CHUNK_CHARS = 4096;

    private TextChunker() {}

    /** The end of the chunk that starts at the given index. */
    public static int chunkEnd(String text, int from) {
        for (int i = from + MIN_CHUNK_CHARS; i < text.length(); i++) {
            if (isChunkBoundary(text, i)) {
                return i;
            }
        }
        return text.length();
    }

    /** Whether a chunk may end just before this index: no token spans the two sides. */
    public static boolean isChunkBoundary(String text, int index) {
        char before = text.charAt(index - 1);
        // No chunk ends after a letter outside the basic multilingual plane: neither of its two
        // chars is a letter by itself.
        return text.charAt(index) == ' '
                && Character.isLetter(before)
                && isUpperLowerOrOtherLetter(before);
    }

    /** Marks, which some patterns allow after a letter, do not count as letters. */
    private static boolean isUpperLowerOrOtherLetter(char c) {
        int type = Character.getType(c);
        return type == Character.LOWERCASE_LETTER
                || type == Character.UPPERCASE_LETTER
                || type == Character.OTHER_LETTER;
    }
}
