package larchridge.inventory;

/** Thrown for an engine list that can't be read or trusted; the message names file, line, field. */
public final class InvalidEngineListException extends Exception {
    private static final long serialVersionUID = 1;

    /** A fault described by its place and problem. */
    public InvalidEngineListException(String message) {
        super(message);
    }

    /** A fault with the exception that revealed it. */
    public InvalidEngineListException(String message, Throwable cause) {
        super(message, cause);
    }
}
