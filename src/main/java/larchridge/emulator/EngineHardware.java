package larchridge.emulator;

/**
 * What one engine is made of. A step of its batch takes {@code stepMs + promptTokMs x prompt tokens
 * + seqMs x answers + contextTokMs x tokens that the answers look back on + lookBackMs x prompt
 * tokens x tokens they look back on}. The form is the one that published work on chunked prefill
 * and continuous batching fits its engines with; docs/emulator.md names it.
 *
 * @param blockToks tokens of a block of memory
 * @param blocks blocks of memory
 * @param batchToks tokens that a step may work on, prompts in chunks and one for each answer
 * @param seqs prompts and answers in work at a time
 * @param queue attempts that may wait for that
 * @param lapseMs after which a state that nobody fetches goes
 * @param coldShare of its speed right after it started, growing evenly to all of it within coldMs
 * @param evictsHeld whether states that wait go when memory is short
 */
public record EngineHardware(
        double stepMs,
        double promptTokMs,
        double seqMs,
        double contextTokMs,
        double lookBackMs,
        int blockToks,
        int blocks,
        int batchToks,
        int seqs,
        int queue,
        double lapseMs,
        double coldShare,
        double coldMs,
        boolean evictsHeld) {
    /** The same with another size of chunks. */
    public EngineHardware withBatchToks(int toks) {
        return new EngineHardware(
                stepMs,
                promptTokMs,
                seqMs,
                contextTokMs,
                lookBackMs,
                blockToks,
                blocks,
                toks,
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
                promptTokMs,
                seqMs,
                contextTokMs,
                lookBackMs,
                blockToks,
                other,
                batchToks,
                seqs,
                queue,
                lapseMs,
                coldShare,
                coldMs,
                evictsHeld);
    }
}
