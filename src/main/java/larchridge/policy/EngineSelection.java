package larchridge.policy;

/** Selects the engines of both stages, reading and writing. */
record EngineSelection(ReaderSelection readerSelection, WriterSelection writerSelection) {}
