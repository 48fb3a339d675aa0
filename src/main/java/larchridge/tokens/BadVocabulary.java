package larchridge.tokens;

/**
 * A vocabulary that can't be used; the message names file, line or field, and what is wrong there.
 */
public final class BadVocabulary extends Exception {
    private static final long serialVersionUID = 1;

    public BadVocabulary(String message) {
        super(message);
    }
}
