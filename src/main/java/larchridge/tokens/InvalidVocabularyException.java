package larchridge.tokens;

/**
 * A vocabulary that can't be used; the message names file, line or field, and what is wrong there.
 */
public final class InvalidVocabularyException extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidVocabularyException(String message) {
        super(message);
    }
}
