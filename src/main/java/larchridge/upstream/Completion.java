package larchridge.upstream;

/**
 * How an answer came to its end.
 *
 * @param finishReason what stopped it
 * @param stopSequence the stop text that was met, or null
 * @param promptTokens prompt tokens as the engine counted them, or -1
 * @param outputTokens answer tokens as the engine counted them, else pieces
 */
public record Completion(
        FinishReason finishReason, String stopSequence, int promptTokens, int outputTokens) {
    /** What stops an answer. */
    public enum FinishReason {
        END_OF_TURN,
        MAX_TOKENS,
        STOP_SEQUENCE
    }
}
