package larchridge.benchlink;

/** A message that does not follow the wire's page. */
public final class BadLine extends Exception {
    private static final long serialVersionUID = 1;

    public BadLine(long line, String what) {
        super("line " + line + ": " + what);
    }
}
