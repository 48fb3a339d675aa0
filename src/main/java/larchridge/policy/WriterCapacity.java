package larchridge.policy;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Memory for answers at writers: what an engine has left, and what the prompts being read will need
 * of it.
 */
final class WriterCapacity {
    /** The expected length of an answer whose length was not hinted, as a part of its maximum. */
    private static final double DEFAULT_OUTPUT_FRACTION = 0.5;

    private final PolicyActions actions;
    private final LoadEstimator load;
    private final List<Engine> writers;

    /** Tokens of generations that are being read and have no writer yet. */
    private double reservedTokens;

    WriterCapacity(PolicyActions actions, LoadEstimator load, List<Engine> writers) {
        this.actions = actions;
        this.load = load;
        this.writers = writers;
    }

    /** Tokens that a generation will hold at its writer. */
    static double neededTokens(Generation generation) {
        double output =
                Double.isNaN(generation.expectedOutputTokens)
                        ? DEFAULT_OUTPUT_FRACTION * generation.maxTokens
                        : generation.expectedOutputTokens;
        return generation.promptTokens + output;
    }

    /** Tokens of all generations that are being read and have no writer yet. */
    double reservedTokens() {
        return reservedTokens;
    }

    /** Counts a generation whose read begins. */
    void reserve(Generation generation) {
        reservedTokens += neededTokens(generation);
    }

    /** No longer counts the generation of a read that has ended. */
    void release(Attempt read) {
        reservedTokens = Math.max(0, reservedTokens - neededTokens(read.generation));
    }

    /**
     * Whether the writers together have capacity for a generation beside all that are being read.
     */
    boolean hasTotalCapacityFor(Generation generation) {
        double free =
                writers.stream()
                        .filter(writer -> hasCapacity(writer, generation))
                        .mapToDouble(this::freeTokens)
                        .sum();
        return writers.isEmpty() || !(free < reservedTokens + neededTokens(generation));
    }

    /**
     * Whether an engine has capacity for a generation; so it counts where its memory is unknown.
     */
    boolean hasCapacity(Engine engine, Generation generation) {
        return !engine.isFull(actions.nowMs()) && !(freeTokens(engine) < neededTokens(generation));
    }

    /**
     * Tokens that an engine has memory for beside those it holds; NaN where its memory is unknown.
     */
    double freeTokens(Engine engine) {
        return engine.memoryTokens() - load.heldTokens(engine);
    }
}
