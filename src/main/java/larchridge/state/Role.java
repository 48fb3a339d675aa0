package larchridge.state;

/** The part an engine can play: read prompts, write answers, or do either. */
public enum Role {
    READER,
    WRITER,
    BOTH
}
