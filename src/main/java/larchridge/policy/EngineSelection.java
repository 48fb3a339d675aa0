package larchridge.policy;

/** How the engines of both stages are chosen. */
record EngineSelection(ReaderSelection readers, WriterSelection writers) {}
