package larchridge.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Selects the writer of an answer once its prompt is read, after the paper DualPath, "Breaking the
 * Storage Bandwidth Bottleneck in Agentic LLM Inference", section 6 (adaptive request scheduling).
 * Among writers with capacity and within a limit of held tokens (the paper's Z), keeps those with
 * about the fewest streams and selects the one nearest to the read state. If none is within the
 * limit or none has capacity, selects the writer that holds the fewest tokens.
 */
final class WriterSelection {
    /** The token limit (the paper's Z) is the writers' mean load with reservations, times this. */
    private static final double TOKEN_LIMIT_MARGIN = 1.05;

    /**
     * Writers with up to this many times the fewest streams per unit of capacity weight, plus
     * {@link #SIMILAR_STREAMS_MARGIN}, count as equally loaded.
     */
    private static final double SIMILAR_STREAMS_FACTOR = 1.3;

    private static final double SIMILAR_STREAMS_MARGIN = 2;

    /**
     * While transfers are late, writers in the reader's rack may hold up to this many times the
     * limit.
     */
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

    /** The engine to write the answer of a generation with a held state, or null if none can. */
    Engine select(Generation generation) {
        List<Engine> eligibleWriters = eligible.of(writers, generation);
        // Ties are broken at random. Without reports most writers look alike to a router with
        // little traffic, and all routers would select the first one of the list.
        Collections.shuffle(eligibleWriters, random);
        List<Engine> withCapacity = new ArrayList<>(eligibleWriters);
        withCapacity.removeIf(writer -> !capacity.hasCapacity(writer, generation));
        if (withCapacity.isEmpty()) {
            return fewestHeldTokens(eligibleWriters);
        }
        Engine reader = generation.readWithHeldState().engine;
        double tokenLimit = tokenLimit(withCapacity, generation);
        if (StateTransfers.areLate(reader, actions.nowMs())) {
            Engine sameRack = selectInRack(withCapacity, reader, tokenLimit);
            if (sameRack != null) {
                return sameRack;
            }
        }
        return selectWithinLimit(withCapacity, reader, tokenLimit);
    }

    /**
     * Token limit per unit of capacity weight: what the writers hold and will get, spread evenly,
     * with a margin.
     */
    private double tokenLimit(List<Engine> withCapacity, Generation generation) {
        double free = withCapacity.stream().mapToDouble(capacity::freeTokens).sum();
        double held = withCapacity.stream().mapToDouble(load::heldTokens).sum();
        double capacityWeight =
                withCapacity.stream().mapToDouble(writer -> writer.capacityWeight()).sum();
        double reserved = capacity.reservedTokens() + WriterCapacity.neededTokens(generation);
        return TOKEN_LIMIT_MARGIN * ((free < reserved ? free : reserved) + held) / capacityWeight;
    }

    /**
     * Deviation from the paper: while transfers out of the reader's rack are late, writers in that
     * rack may exceed the token limit.
     */
    private Engine selectInRack(List<Engine> withCapacity, Engine reader, double tokenLimit) {
        List<Engine> sameRack = new ArrayList<>(withCapacity);
        sameRack.removeIf(
                writer ->
                        StateTransfers.transferDistance(reader, writer) > 0
                                || load.heldTokensPerUnit(writer)
                                        > SAME_RACK_TOKEN_LIMIT_FACTOR * tokenLimit);
        return sameRack.isEmpty()
                ? null
                : Collections.min(sameRack, Comparator.comparingDouble(load::streamsPerUnit));
    }

    /**
     * Deviation from the paper: among writers within the token limit with about the fewest streams,
     * selects the nearest to the read state.
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
                Comparator.comparingInt(
                                (Engine writer) -> StateTransfers.transferDistance(reader, writer))
                        .thenComparingDouble(load::streamsPerUnit));
    }

    private Engine fewestHeldTokens(List<Engine> pool) {
        return pool.stream().min(Comparator.comparingDouble(load::heldTokensPerUnit)).orElse(null);
    }
}
