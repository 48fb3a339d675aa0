package larchridge.tokens;

/** Counts tokens like the engines of a model do. Safe for use by several threads. */
public interface Vocabulary {
    /** Its name in the site file. */
    String name();

    /**
     * The tokens of a text. Text that spells a special token counts as one token if the vocabulary
     * is a {@code tokenizer.json}, and as ordinary text otherwise.
     */
    int count(String text);

    /** The length of the longest token in bytes, or an upper bound of it. */
    int maxTokenBytes();
}
