package larchridge.node.upstream;

/** What an attempt is to do at its engine. */
enum AttemptKind {
    /** Read the prompt and leave the state at the engine. */
    READ,
    /** Write the answer, from a state that was left before or after reading in place. */
    WRITE
}
