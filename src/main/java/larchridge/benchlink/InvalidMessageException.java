package larchridge.benchlink;

/** A message that does not follow the wire's page. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidMessageException(long line, String what) {
        super("line " + line + ": " + what);
    }
}
