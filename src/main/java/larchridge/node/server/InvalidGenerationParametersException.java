package larchridge.node.server;

/**
 * Thrown for a request whose headers are missing, malformed or out of range; the message names the
 * header.
 */
final class InvalidGenerationParametersException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidGenerationParametersException(String message) {
        super(message);
    }
}
