package larchridge.tokens;

/**
 * Thrown for a vocabulary that can't be used; the message names the file or the vocabulary, where
 * known the line or field, and the problem.
 */
public final class InvalidVocabularyException extends Exception {
    private static final long serialVersionUID = 1;

    /** An error described by its location and problem. */
    public InvalidVocabularyException(String message) {
        super(message);
    }
}
