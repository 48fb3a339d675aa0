package larchridge.node.server;

/**
 * Thrown for a request whose headers are missing, malformed or out of range; the message names the
 * header.
 */
final class InvalidRequestHeadException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidRequestHeadException(String message) {
        super(message);
    }
}
