package larchridge.inventory;

/**
 * Thrown for an engine list that can't be read or is invalid. The message names the file and, where
 * known, line and field.
 */
public final class InvalidEngineListException extends Exception {
    private static final long serialVersionUID = 1;

    /** An error described by its location and problem. */
    public InvalidEngineListException(String message) {
        super(message);
    }

    /** An error caused by another exception. */
    public InvalidEngineListException(String message, Throwable cause) {
        super(message, cause);
    }
}
