package larchridge.lease;

/** Thrown for a response of the lender that does not fit the requests of its call. */
final class InvalidLeaseException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidLeaseException(String message) {
        super(message);
    }

    InvalidLeaseException(String message, Throwable cause) {
        super(message, cause);
    }
}
