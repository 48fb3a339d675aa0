package larchridge.node.server;

/** Reports that there is no memory for the head of a request. */
final class RequestMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1;

    RequestMemoryException() {
        // Without a stack trace: the cause is load, and many may be thrown.
        super("no memory for the head of a request", null, false, false);
    }
}
