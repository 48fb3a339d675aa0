package larchridge.state;

/** A text that readers may have kept: a session's prompts so far, or a beginning that sessions share. */
public final class Text {
    public final String label;
    public Engine lastReader;
    /** Which start of that reader's process the text went to. */
    public double lastReaderStartMs;
    public int toks;
    /** The newest prompt of a session, and when it was asked first. */
    public int askedToks;
    public double firstTryMs;
    public double usedMs;

    public Text(String label) {
        this.label = label;
    }

    /** The engine that read this text last, or null if its process has ended since. */
    public Engine keeper() {
        return lastReader != null && lastReader.startMs == lastReaderStartMs ? lastReader : null;
    }

    /** A fixed figure for this text and an engine, alike at every front. */
    public long affinity(Engine engine) {
        long mixed = label.hashCode() * 0x9E3779B97F4A7C15L ^ engine.label * 0xC2B2AE3D27D4EB4FL;
        mixed = (mixed ^ mixed >>> 31) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
