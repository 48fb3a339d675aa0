package larchridge.store;

import java.io.IOException;

/** Thrown if a store can't be opened, read or written. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1;

    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
