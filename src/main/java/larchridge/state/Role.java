package larchridge.state;

/** The stages that an engine serves. */
public enum Role {
    /** Reads prompts and holds the resulting states. */
    READER,
    /** Fetches states and writes answers. */
    WRITER,
    /** Writes answers, from fetched states or from prompts that it reads itself. */
    BOTH
}
