package larchridge.inventory;

/** An engine list that can't be believed; the text names file, line and field. */
public final class InvalidEngineListException extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidEngineListException(String text) {
        super(text);
    }
}
