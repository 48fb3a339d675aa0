package larchridge.lease;

/** Thrown for a lender's answer that can't be the answer to what was requested. */
final class InvalidLeaseException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidLeaseException(String message) {
        super(message);
    }

    InvalidLeaseException(String message, Throwable cause) {
        super(message, cause);
    }
}
