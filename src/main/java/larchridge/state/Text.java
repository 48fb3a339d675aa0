package larchridge.state;

/** A text that readers may have kept: a session's prompts so far, or a beginning that sessions share. */
public final class Text {
    public final String label;
    public Engine lastReader;
    /** Which start of that reader's process the text went to. */
    public double lastReaderStartMs;
    public int toks;
    public double usedMs;

    public Text(String label) {
        this.label = label;
    }
}
