package larchridge.upstream;

/**
 * How an answer came to its end.
 *
 * @param why what stopped it
 * @param stop the stop text that was met, or null
 * @param promptToks prompt tokens as the engine counted them, or -1
 * @param outToks answer tokens as the engine counted them, else pieces
 */
public record Completion(Why why, String stop, int promptToks, int outToks) {
    /** What stops an answer. */
    public enum Why {
        END_OF_TURN,
        MOST_TOKENS,
        STOP_TEXT
    }
}
