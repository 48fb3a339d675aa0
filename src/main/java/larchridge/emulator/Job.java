package larchridge.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * One attempt at an engine: a prompt to be read, an answer to be written of a state fetched from
 * elsewhere, or both.
 */
public final class Job {
    /** What is done of an attempt here. */
    public enum Kind {
        READ,
        WRITE,
        BOTH
    }

    public final String attemptId;
    public final Kind kind;
    public final Prompt prompt;

    /** Tokens that the answer will have. */
    public final int answerTokens;

    /** For whoever drives the engine. */
    public Object attachment;

    List<KvBlockPool.Block> blocks = new ArrayList<>();
    int computedTokens;
    int cachedTokens;
    int generatedTokens;
    int chunkTokens;
    boolean fetchingState;
    boolean removed;
    boolean preempted;
    boolean inCurrentStep;

    /**
     * What has to be read before the next token can be written: the prompt, after a preemption also
     * what was written.
     */
    int requiredTokens;

    double heldSinceMs;

    public Job(String attemptId, Kind kind, Prompt prompt, int answerTokens) {
        this.attemptId = attemptId;
        this.kind = kind;
        this.prompt = prompt;
        this.answerTokens = answerTokens;
        requiredTokens = prompt.tokens;
    }

    /** Prompt tokens that needed no reading. */
    public int cachedTokens() {
        return cachedTokens;
    }

    public int generatedTokens() {
        return generatedTokens;
    }

    boolean isGenerating() {
        return kind != Kind.READ && !fetchingState && computedTokens >= requiredTokens;
    }
}
