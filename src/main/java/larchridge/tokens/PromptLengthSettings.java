package larchridge.tokens;

/**
 * How the lengths of a model's prompts are determined.
 *
 * @param vocabulary the vocabulary of its engines, or null if lengths are estimated from bytes
 * @param windowTokens context window: the most tokens of prompt and answer together
 * @param imageTokens tokens counted for an image
 * @param messageTokens tokens that the engines' chat template adds to each message
 */
public record PromptLengthSettings(
        Vocabulary vocabulary, int windowTokens, int imageTokens, int messageTokens) {
    /** Lengths estimated from bytes, with an unlimited context window. */
    public static final PromptLengthSettings ESTIMATED =
            new PromptLengthSettings(null, Integer.MAX_VALUE, 1600, 0);
}
