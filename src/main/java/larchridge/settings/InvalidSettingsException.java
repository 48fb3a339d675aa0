package larchridge.settings;

/** Thrown for invalid settings; the message names the member and what was expected. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with a message that names the member and what was expected. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
