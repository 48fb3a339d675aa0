package larchridge.policy;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Tracks writer memory for answers: what each engine has free, and what the prompts being read will
 * need.
 */
final class WriterCapacity {
    /** Expected answer length as a fraction of its maximum, if the client gave no hint. */
    private static final double DEFAULT_OUTPUT_FRACTION = 0.5;

    private final PolicyActions actions;
    private final LoadEstimator load;
    private final List<Engine> writers;

    /** Tokens needed by generations that are being read and have no writer yet. */
    private double reservedTokens;

    WriterCapacity(PolicyActions actions, LoadEstimator load, List<Engine> writers) {
        this.actions = actions;
        this.load = load;
        this.writers = writers;
    }

    /** Tokens that a generation will hold in its writer's memory. */
    static double neededTokens(Generation generation) {
        double output =
                Double.isNaN(generation.expectedOutputTokens)
                        ? DEFAULT_OUTPUT_FRACTION * generation.maxTokens
                        : generation.expectedOutputTokens;
        return generation.promptTokens + output;
    }

    /** Tokens needed by all generations that are being read and have no writer yet. */
    double reservedTokens() {
        return reservedTokens;
    }

    /** Reserves tokens for a generation whose read starts. */
    void reserve(Generation generation) {
        reservedTokens += neededTokens(generation);
    }

    /** Releases the reservation of a read that has ended. */
    void release(Attempt read) {
        reservedTokens = Math.max(0, reservedTokens - neededTokens(read.generation));
    }

    /**
     * Whether the writers together have capacity for a generation and all that are being read; true
     * if there are no writers or the memory of one that is not full is unknown.
     */
    boolean hasTotalCapacityFor(Generation generation) {
        double free =
                writers.stream()
                        .filter(writer -> hasCapacity(writer, generation))
                        .mapToDouble(this::freeTokens)
                        .sum();
        return writers.isEmpty() || !(free < reservedTokens + neededTokens(generation));
    }

    /** Whether an engine has capacity for a generation; true if its memory is unknown. */
    boolean hasCapacity(Engine engine, Generation generation) {
        return !engine.isFull(actions.nowMs()) && !(freeTokens(engine) < neededTokens(generation));
    }

    /** Free memory of an engine in tokens; NaN if its memory is unknown. */
    double freeTokens(Engine engine) {
        return engine.memoryTokens() - load.heldTokens(engine);
    }
}
