package larchridge.emulator;

/**
 * What one engine is made of. A step of its batch takes {@code stepMs + promptTokMs x prompt tokens
 * + sequenceMs x answers + contextTokMs x tokens that the answers look back on + attentionMs x prompt
 * tokens x tokens they look back on}. The form is the one that published work on chunked prefill
 * and continuous batching fits its engines with; docs/emulator.md names it.
 *
 * @param blockTokens tokens of a block of memory
 * @param blocks blocks of memory
 * @param batchTokens tokens that a step may work on, prompts in chunks and one for each answer
 * @param maxSequences prompts and answers in work at a time
 * @param maxQueued attempts that may wait for that
 * @param stateTimeoutMs after which a state that nobody fetches goes
 * @param coldShare of its speed right after it started, growing evenly to all of it within coldMs
 * @param evictsHeldStates whether states that wait go when memory is short
 */
public record EngineHardware(
        double stepMs,
        double promptTokenMs,
        double sequenceMs,
        double contextTokenMs,
        double attentionMs,
        int blockTokens,
        int blocks,
        int batchTokens,
        int maxSequences,
        int maxQueued,
        double stateTimeoutMs,
        double coldShare,
        double coldMs,
        boolean evictsHeldStates) {
    /** The same with another size of chunks. */
    public EngineHardware withBatchTokens(int tokens) {
        return new EngineHardware(
                stepMs,
                promptTokenMs,
                sequenceMs,
                contextTokenMs,
                attentionMs,
                blockTokens,
                blocks,
                tokens,
                maxSequences,
                maxQueued,
                stateTimeoutMs,
                coldShare,
                coldMs,
                evictsHeldStates);
    }

    /** The same with so many blocks. */
    public EngineHardware withBlocks(int blockCount) {
        return new EngineHardware(
                stepMs,
                promptTokenMs,
                sequenceMs,
                contextTokenMs,
                attentionMs,
                blockTokens,
                blockCount,
                batchTokens,
                maxSequences,
                maxQueued,
                stateTimeoutMs,
                coldShare,
                coldMs,
                evictsHeldStates);
    }
}
