package larchridge.lease;

/**
 * Thrown for a response of the lender that is too long, is not valid JSON, or does not match the
 * requests of its call in the number or the size of the grants.
 */
final class InvalidLeaseException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidLeaseException(String message) {
        super(message);
    }

    InvalidLeaseException(String message, Throwable cause) {
        super(message, cause);
    }
}
