package larchridge.upstream;

/**
 * How an answer ended.
 *
 * @param finishReason what ended it
 * @param stopSequence the stop text that was met, or null
 * @param promptTokens prompt tokens as the engine counted them, or {@link #TOKENS_UNREPORTED}
 * @param outputTokens answer tokens as the engine counted them, else the number of text events
 */
public record Completion(
        FinishReason finishReason, String stopSequence, int promptTokens, int outputTokens) {
    /** Stands for a token count that the engine did not report. */
    public static final int TOKENS_UNREPORTED = -1;

    /** What ends an answer. */
    public enum FinishReason {
        /** The model ended its turn. */
        END_OF_TURN,
        /** The request's token limit was reached. */
        MAX_TOKENS,
        /** One of the request's stop texts was met. */
        STOP_SEQUENCE
    }
}
