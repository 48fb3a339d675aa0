package larchridge.tokens;

/**
 * How a model's prompts are measured.
 *
 * @param vocabulary what its engines count by, or null where it is guessed from bytes
 * @param windowTokens what prompt and answer may have together
 * @param imageTokens what an image counts as
 * @param messageTokens what the engines' frame adds to each message
 */
public record PromptLengthSettings(Vocabulary vocabulary, int windowTokens, int imageTokens, int messageTokens) {
    public static final PromptLengthSettings ESTIMATED = new PromptLengthSettings(null, Integer.MAX_VALUE, 1600, 0);
}
