package larchridge.benchlink;

/**
 * Thrown for a message that violates the protocol. The text of the exception gives the line number
 * and the problem.
 */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * An error in one line of the input.
     *
     * @param lineNumber the line, counted from 1
     * @param problem what is wrong with it, and what is expected
     */
    public InvalidMessageException(long lineNumber, String problem) {
        super("line " + lineNumber + ": " + problem);
    }
}
