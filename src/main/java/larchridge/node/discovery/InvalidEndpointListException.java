package larchridge.node.discovery;

/**
 * Thrown for an endpoint list that can't be used; the message names the member and the expected
 * value.
 */
public final class InvalidEndpointListException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidEndpointListException(String problem) {
        super(problem);
    }
}
