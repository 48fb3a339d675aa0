package larchridge.node.upstream;

/** What an attempt requests from its engine. */
enum AttemptKind {
    /** Read the prompt and leave the state at the engine. */
    READ,
    /** Write the answer, from a state left by a read attempt or after reading the prompt itself. */
    WRITE
}
