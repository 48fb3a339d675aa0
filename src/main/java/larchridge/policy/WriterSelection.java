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
    private static final double TOKEN_LIMIT_MARGIN = 1.05;

    /**
     * Streams per unit up to this many times the fewest, plus {@link #SIMILAR_STREAMS_MARGIN}, are
     * alike.
     */
    private static final double SIMILAR_STREAMS_FACTOR = 1.3;

    private static final double SIMILAR_STREAMS_MARGIN = 2;

    /** While transfers are late, writers in the reader's rack may hold so many times Z. */
    private static final double SAME_RACK_TOKEN_LIMIT_FACTOR = 2.5;

    private final PolicyActions actions;
    private final List<Engine> writers;
    private final EligibleEngines eligible;
    private final LoadEstimator load;
    private final WriterCapacity capacity;
    private final Random random;

    WriterSelection(PolicyActions actions, EngineView engineView, Random random) {
        this.actions = actions;
        this.random = random;
        writers = engineView.registry().writers();
        eligible = engineView.eligible();
        load = engineView.load();
        capacity = engineView.capacity();
    }

    /**
     * The engine to write the answer of a generation whose state is held, or null if there is none.
     */
    Engine select(Generation generation) {
        List<Engine> eligibleWriters = eligible.of(writers, generation);
        // Equals are told apart by chance. Without reports most writers look alike to a router that
        // sees little, and all routers together would take the first of the list.
        Collections.shuffle(eligibleWriters, random);
        List<Engine> withCapacity = new ArrayList<>(eligibleWriters);
        withCapacity.removeIf(writer -> !capacity.hasCapacity(writer, generation));
        if (withCapacity.isEmpty()) {
            return fewestHeldTokens(eligibleWriters);
        }
        Engine reader = generation.heldRead().engine;
        double tokenLimit = tokenLimit(withCapacity, generation);
        if (StateTransfers.areLate(reader, actions.nowMs())) {
            Engine sameRack = selectInRack(withCapacity, reader, tokenLimit);
            if (sameRack != null) {
                return sameRack;
            }
        }
        return selectWithinLimit(withCapacity, reader, tokenLimit);
    }

    /** Z, in tokens per unit: what the writers hold and will get, spread evenly, with a margin. */
    private double tokenLimit(List<Engine> withCapacity, Generation generation) {
        double free = withCapacity.stream().mapToDouble(capacity::freeTokens).sum();
        double held = withCapacity.stream().mapToDouble(load::heldTokens).sum();
        double units = withCapacity.stream().mapToDouble(writer -> writer.units()).sum();
        double reserved = capacity.reservedTokens() + WriterCapacity.neededTokens(generation);
        return TOKEN_LIMIT_MARGIN * ((free < reserved ? free : reserved) + held) / units;
    }

    /**
     * Deviation from the paper: where transfers out of the reader's rack are late, its own rack
     * goes beyond Z for a while.
     */
    private Engine selectInRack(List<Engine> withCapacity, Engine reader, double tokenLimit) {
        List<Engine> sameRack = new ArrayList<>(withCapacity);
        sameRack.removeIf(
                writer ->
                        StateTransfers.transferDistance(reader, writer) > 0
                                || load.heldTokensPerUnit(writer) > SAME_RACK_TOKEN_LIMIT_FACTOR * tokenLimit);
        return sameRack.isEmpty()
                ? null
                : Collections.min(sameRack, Comparator.comparingDouble(load::streamsPerUnit));
    }

    /**
     * Deviation from the paper: among those at or under Z with about the fewest streams, the
     * nearest to the state.
     */
    private Engine selectWithinLimit(List<Engine> withCapacity, Engine reader, double tokenLimit) {
        List<Engine> withinLimit = new ArrayList<>(withCapacity);
        withinLimit.removeIf(writer -> load.heldTokensPerUnit(writer) > tokenLimit);
        if (withinLimit.isEmpty()) {
            return fewestHeldTokens(withCapacity);
        }
        double fewest = withinLimit.stream().mapToDouble(load::streamsPerUnit).min().getAsDouble();
        double maxStreams = fewest * SIMILAR_STREAMS_FACTOR + SIMILAR_STREAMS_MARGIN;
        withinLimit.removeIf(writer -> load.streamsPerUnit(writer) > maxStreams);
        return Collections.min(
                withinLimit,
                Comparator.comparingInt((Engine writer) -> StateTransfers.transferDistance(reader, writer))
                        .thenComparingDouble(load::streamsPerUnit));
    }

    private Engine fewestHeldTokens(List<Engine> pool) {
        return pool.stream().min(Comparator.comparingDouble(load::heldTokensPerUnit)).orElse(null);
    }
}
