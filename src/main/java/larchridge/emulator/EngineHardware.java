package larchridge.emulator;

/**
 * Step times and capacity of one engine.
 *
 * <p>A batch step takes {@code stepMs + promptTokenMs * P + sequenceMs * S + contextTokenMs * C +
 * attentionMs * A}, where P is the number of prompt tokens that the step reads, S the number of
 * answers it continues, C the total context length of these answers, and A the sum over prompt
 * chunks of the chunk's length times the number of tokens before the chunk. Published work on
 * chunked prefill and continuous batching fits this form to its engines; see docs/emulator.md.
 *
 * @param stepMs fixed time of a step
 * @param promptTokenMs time per prompt token
 * @param sequenceMs time per answer
 * @param contextTokenMs time per token of an answer's context
 * @param attentionMs time per pair of a prompt token and a token before its chunk
 * @param blockTokens tokens per memory block
 * @param blocks number of memory blocks
 * @param batchTokens tokens that a step may process: prompt chunks, and one token for each answer
 * @param maxSequences prompts and answers processed at a time
 * @param maxQueued attempts that may be queued
 * @param stateTimeoutMs time after which a held state that was not fetched is released
 * @param coldShare fraction of full speed right after a start; rises linearly to 1 within coldMs
 * @param coldMs time after a start until the engine has full speed
 * @param evictsHeldStates whether held states are evicted when memory is short
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
    /** Returns a copy with another token limit per step. */
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

    /** Returns a copy with another number of memory blocks. */
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
