package larchridge.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Chooses the writer of an answer once its prompt is read: among those with capacity that hold no
 * more than Z tokens, one with about the fewest streams near the read state; else the one with the
 * fewest tokens.
 */
final class WriterSelection {
    /** Z is the mean tokens of the writers, with what awaits a writer, times this (the paper's). */
    private static final double Z_MARGIN = 1.05;

    /**
     * Streams per unit up to this many times the fewest, plus {@link #NEAR_STREAMS_MORE}, are
     * alike.
     */
    private static final double NEAR_STREAMS_FACTOR = 1.3;

    private static final double NEAR_STREAMS_MORE = 2;

    /** While transfers are late, writers in the reader's rack may hold so many times Z. */
    private static final double NEAR_TOKENS_FACTOR = 2.5;

    private final PolicyActions actions;
    private final List<Engine> writers;
    private final EligibleEngines eligible;
    private final LoadEstimator load;
    private final WriterCapacity capacity;
    private final Random random;

    WriterSelection(PolicyActions actions, EngineKnowledge known, Random random) {
        this.actions = actions;
        this.random = random;
        writers = known.registry().writers();
        eligible = known.eligible();
        load = known.load();
        capacity = known.capacity();
    }

    /**
     * The engine to write the answer of a generation whose state is held, or null if there is none.
     */
    Engine select(Generation generation) {
        List<Engine> fit = eligible.of(writers, generation);
        // Equals are told apart by chance. Without reports most writers look alike to a router that
        // sees little, and all routers together would take the first of the list.
        Collections.shuffle(fit, random);
        List<Engine> roomy = new ArrayList<>(fit);
        roomy.removeIf(writer -> !capacity.hasCapacity(writer, generation));
        if (roomy.isEmpty()) {
            return leastLoadedByTokens(fit);
        }
        Engine reader = generation.heldRead().engine;
        double z = tokenLimit(roomy, generation);
        if (StateTransfers.areLate(reader, actions.nowMs())) {
            Engine near = selectInRack(roomy, reader, z);
            if (near != null) {
                return near;
            }
        }
        return selectWithinLimit(roomy, reader, z);
    }

    /** Z, in tokens per unit: what the writers hold and will get, spread evenly, with a margin. */
    private double tokenLimit(List<Engine> roomy, Generation generation) {
        double free = roomy.stream().mapToDouble(capacity::freeTokens).sum();
        double held = roomy.stream().mapToDouble(load::heldTokens).sum();
        double units = roomy.stream().mapToDouble(writer -> writer.units()).sum();
        double awaiting = capacity.awaitingTokens() + WriterCapacity.neededTokens(generation);
        return Z_MARGIN * ((free < awaiting ? free : awaiting) + held) / units;
    }

    /**
     * Deviation from the paper: where transfers out of the reader's rack are late, its own rack
     * goes beyond Z for a while.
     */
    private Engine selectInRack(List<Engine> roomy, Engine reader, double z) {
        List<Engine> near = new ArrayList<>(roomy);
        near.removeIf(
                writer ->
                        StateTransfers.distance(reader, writer) > 0
                                || load.heldTokensPerUnit(writer) > NEAR_TOKENS_FACTOR * z);
        return near.isEmpty()
                ? null
                : Collections.min(near, Comparator.comparingDouble(load::streamsPerUnit));
    }

    /**
     * Deviation from the paper: among those at or under Z with about the fewest streams, the
     * nearest to the state.
     */
    private Engine selectWithinLimit(List<Engine> roomy, Engine reader, double z) {
        List<Engine> within = new ArrayList<>(roomy);
        within.removeIf(writer -> load.heldTokensPerUnit(writer) > z);
        if (within.isEmpty()) {
            return leastLoadedByTokens(roomy);
        }
        double fewest = within.stream().mapToDouble(load::streamsPerUnit).min().getAsDouble();
        double most = fewest * NEAR_STREAMS_FACTOR + NEAR_STREAMS_MORE;
        within.removeIf(writer -> load.streamsPerUnit(writer) > most);
        return Collections.min(
                within,
                Comparator.comparingInt((Engine writer) -> StateTransfers.distance(reader, writer))
                        .thenComparingDouble(load::streamsPerUnit));
    }

    private Engine leastLoadedByTokens(List<Engine> pool) {
        return pool.stream().min(Comparator.comparingDouble(load::heldTokensPerUnit)).orElse(null);
    }
}
