package larchridge.emulator;

/**
 * What one engine is made of. A step of its batch takes {@code stepMs + promptTokMs x prompt tokens
 * + seqMs x answers + contextTokMs x tokens that the answers look back on + lookBackMs x prompt
 * tokens x tokens they look back on}. The form is the one that published work on chunked prefill
 * and continuous batching fits its engines with; docs/emulator.md names it.
 *
 * @param blockTokens tokens of a block of memory
 * @param blocks blocks of memory
 * @param batchTokens tokens that a step may work on, prompts in chunks and one for each answer
 * @param seqs prompts and answers in work at a time
 * @param queue attempts that may wait for that
 * @param lapseMs after which a state that nobody fetches goes
 * @param coldShare of its speed right after it started, growing evenly to all of it within coldMs
 * @param evictsHeld whether states that wait go when memory is short
 */
public record EngineHardware(
        double stepMs,
        double promptTokenMs,
        double seqMs,
        double contextTokenMs,
        double lookBackMs,
        int blockTokens,
        int blocks,
        int batchTokens,
        int seqs,
        int queue,
        double lapseMs,
        double coldShare,
        double coldMs,
        boolean evictsHeld) {
    /** The same with another size of chunks. */
    public EngineHardware withBatchTokens(int tokens) {
        return new EngineHardware(
                stepMs,
                promptTokenMs,
                seqMs,
                contextTokenMs,
                lookBackMs,
                blockTokens,
                blocks,
                tokens,
                seqs,
                queue,
                lapseMs,
                coldShare,
                coldMs,
                evictsHeld);
    }

    /** The same with so many blocks. */
    public EngineHardware withBlocks(int other) {
        return new EngineHardware(
                stepMs,
                promptTokenMs,
                seqMs,
                contextTokenMs,
                lookBackMs,
                blockTokens,
                other,
                batchTokens,
                seqs,
                queue,
                lapseMs,
                coldShare,
                coldMs,
                evictsHeld);
    }
}
