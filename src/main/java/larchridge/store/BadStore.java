package larchridge.store;

import java.io.IOException;

/** A store that can't be opened, read or written. */
public final class BadStore extends IOException {
    private static final long serialVersionUID = 1;

    public BadStore(String text, Throwable cause) {
        super(text, cause);
    }
}
