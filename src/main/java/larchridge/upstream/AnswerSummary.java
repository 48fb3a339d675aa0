package larchridge.upstream;

/**
 * How an answer ended, and its token counts.
 *
 * @param finishReason why it ended
 * @param stopSequence the stop sequence that was generated, or null
 * @param promptTokens prompt tokens as the engine counted them, or {@link #TOKENS_UNREPORTED}
 * @param outputTokens output tokens as the engine counted them, else the number of text events
 */
public record AnswerSummary(
        FinishReason finishReason, String stopSequence, int promptTokens, int outputTokens) {
    /** Value of a token count that the engine did not report. */
    public static final int TOKENS_UNREPORTED = -1;

    /** Why an answer ended. */
    public enum FinishReason {
        /** The model ended its turn. */
        END_OF_TURN,
        /** The request's token limit was reached. */
        MAX_TOKENS,
        /** One of the request's stop sequences was generated. */
        STOP_SEQUENCE
    }
}
