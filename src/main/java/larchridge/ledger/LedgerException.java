package larchridge.ledger;

/** A ledger that can't be opened, read or written. */
public final class LedgerException extends Exception {
    private static final long serialVersionUID = 1;

    public LedgerException(String message, Throwable cause) {
        super(message, cause);
    }
}
