package larchridge.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * One attempt at an engine: reads a prompt, writes an answer from a state fetched from a reader, or
 * does both.
 */
public final class Job {
    /** Which part of the work the engine does. */
    public enum Kind {
        READ,
        WRITE,
        BOTH
    }

    public final String attemptId;
    public final Kind kind;
    public final Prompt prompt;

    /** Number of tokens after which the answer is complete. */
    public final int answerTokens;

    /** An object of the caller that drives the engine; not used by the emulator. */
    public Object attachment;

    List<KvBlockPool.Block> blocks = new ArrayList<>();

    /** How many of the {@link #targetTokens} were computed, fetched or found in the cache. */
    int computedTokens;

    int cachedTokens;
    int generatedTokens;

    /** Prompt tokens that the current step reads. */
    int chunkTokens;

    boolean fetchingState;
    boolean removed;
    boolean preempted;

    /** Whether the current step generates a token of this answer. */
    boolean inCurrentStep;

    /**
     * Tokens that must be computed before the next token can be generated: the prompt and, after a
     * preemption, the tokens generated so far.
     */
    int targetTokens;

    double heldSinceMs;

    /** Creates a job that has not been submitted. */
    public Job(String attemptId, Kind kind, Prompt prompt, int answerTokens) {
        this.attemptId = attemptId;
        this.kind = kind;
        this.prompt = prompt;
        this.answerTokens = answerTokens;
        targetTokens = prompt.tokens;
    }

    /** Number of prompt tokens that were cached and did not have to be read. */
    public int cachedTokens() {
        return cachedTokens;
    }

    /** Number of answer tokens generated so far. */
    public int generatedTokens() {
        return generatedTokens;
    }

    boolean isGenerating() {
        return kind != Kind.READ && !fetchingState && computedTokens >= targetTokens;
    }
}
