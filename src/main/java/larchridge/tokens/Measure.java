package larchridge.tokens;

/**
 * How a model's prompts are measured.
 *
 * @param vocabulary what its engines count by, or null where it is guessed from bytes
 * @param windowToks what prompt and answer may have together
 * @param imageToks what an image counts as
 * @param messageToks what the engines' frame adds to each message
 */
public record Measure(Vocabulary vocabulary, int windowToks, int imageToks, int messageToks) {
    public static final Measure GUESSED = new Measure(null, Integer.MAX_VALUE, 1600, 0);
}
