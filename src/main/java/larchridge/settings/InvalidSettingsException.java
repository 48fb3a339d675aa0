package larchridge.settings;

/** A settings object that can't be used; the message names the member and what was expected. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /** An exception with the member and what was expected of it. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
