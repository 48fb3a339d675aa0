package larchridge.node.discovery;

/** An endpoint list that can't be used; the message names the member and what was expected. */
public final class InvalidEndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    /** Says which member is wrong and what was expected in its place. */
    InvalidEndpointListException(String problem) {
        super(problem);
    }
}
