package larchridge.inventory;

/** An engine list that can't be believed; the text names file, line and field. */
public final class BadList extends Exception {
    private static final long serialVersionUID = 1;

    public BadList(String text) {
        super(text);
    }
}
