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

    public final String rid;
    public final Kind kind;
    public final Prompt prompt;

    /** Tokens that the answer will have. */
    public final int length;

    /** For whoever drives the engine. */
    public Object owner;

    List<BlockMemory.Block> blocks = new ArrayList<>();
    int have;
    int kept;
    int made;
    int chunk;
    boolean fetching;
    boolean gone;
    boolean preempted;
    boolean inStep;

    /**
     * What has to be read before the next token can be written: the prompt, after a preemption also
     * what was written.
     */
    int target;

    double heldSinceMs;

    public Job(String rid, Kind kind, Prompt prompt, int length) {
        this.rid = rid;
        this.kind = kind;
        this.prompt = prompt;
        this.length = length;
        target = prompt.tokens;
    }

    /** Prompt tokens that needed no reading. */
    public int kept() {
        return kept;
    }

    public int made() {
        return made;
    }

    boolean writes() {
        return kind != Kind.READ && !fetching && have >= target;
    }
}
