package larchridge.tokens;

/**
 * Cuts a text where its tokens are cut anyway, so that the tokens of the parts add up to those of
 * the whole: before a space that follows a letter. The cuts depend on what is before them only, and
 * so are the same for every text with the same beginning: a conversation's next turn finds the
 * parts of the turns before. Without state.
 */
public final class TextChunker {
    /** A part is at least this long, but for the last. */
    public static final int MIN_CHUNK_CHARS = 4096;

    private TextChunker() {}

    /** Where the part that begins there ends. */
    public static int chunkEnd(String text, int from) {
        for (int i = from + MIN_CHUNK_CHARS; i < text.length(); i++) {
            if (isChunkBoundary(text, i)) {
                return i;
            }
        }
        return text.length();
    }

    /** Whether no token goes over this place. */
    public static boolean isChunkBoundary(String text, int index) {
        char before = text.charAt(index - 1);
        // A letter beyond the basic plane is two chars; neither is a letter by itself.
        return text.charAt(index) == ' ' && Character.isLetter(before) && isUpperLowerOrOtherLetter(before);
    }

    /** Marks that some patterns let follow letters are none. */
    private static boolean isUpperLowerOrOtherLetter(char c) {
        int type = Character.getType(c);
        return type == Character.LOWERCASE_LETTER
                || type == Character.UPPERCASE_LETTER
                || type == Character.OTHER_LETTER;
    }
}
