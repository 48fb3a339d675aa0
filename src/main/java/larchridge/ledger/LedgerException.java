package larchridge.ledger;

/** Thrown if a ledger can't be opened, read or compacted. */
public final class LedgerException extends Exception {
    private static final long serialVersionUID = 1;

    public LedgerException(String message, Throwable cause) {
        super(message, cause);
    }
}
