package larchridge.state;

/** The stages that an engine serves. */
public enum Role {
    /** Reads prompts and holds their states. */
    READER,
    /** Fetches states and writes answers. */
    WRITER,
    /** Writes answers, of states or of prompts that it reads itself. */
    BOTH
}
