package larchridge.policy;

import java.util.ArrayList;
import java.util.List;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;

/**
 * Selects the reader of a prompt, after the paper DualPath, "Breaking the Storage Bandwidth
 * Bottleneck in Agentic LLM Inference", section 6 (adaptive request scheduling).
 *
 * <p>The first of these that applies is selected:
 *
 * <ol>
 *   <li>The preferred reader, if its backlog is short and transfers from it are not late: the last
 *       reader of the session, or the first affinity reader if that one is not eligible.
 *   <li>Else the engine with the lowest rank, and with the fewest unread tokens within a rank,
 *       among the eligible affinity readers, the last reader and the writers that may read prompts
 *       themselves; all eligible readers take part if no affinity or last reader is eligible.
 *       Engines whose backlog is over the generation's limit, or at which the first token would
 *       come after the SLO deadline, are left out.
 *   <li>None while all are overloaded or the writers lack capacity for the answer.
 * </ol>
 */
final class ReaderSelection {
    /** Longest backlog that counts as short (the paper's alpha): small against SLOs of seconds. */
    private static final double SHORT_BACKLOG_MS = 250;

    /** Backlog above which a reader is overloaded (the paper's beta): more misses the SLO. */
    private static final double OVERLOADED_BACKLOG_MS = 1750;

    /**
     * A writer may read prompts itself while it has at most this many times the writers' mean
     * streams per unit of capacity weight.
     */
    private static final double SELF_READ_STREAMS_FACTOR = 0.6;

    /** The same limit while transfers are late: answers on other writers wait for their states. */
    private static final double SELF_READ_STREAMS_FACTOR_LATE = 1.5;

    private final PolicyActions actions;
    private final List<Engine> readers;
    private final List<Engine> writers;
    private final EligibleEngines eligible;
    private final PrefixAffinity affinity;
    private final LoadEstimator load;
    private final LatencyEstimator latency;
    private final WriterCapacity capacity;
    private final String zone;
    private final boolean writersCanRead;

    ReaderSelection(RoutingSettings settings, PolicyActions actions, EngineView engineView) {
        this.actions = actions;
        readers = engineView.registry().readers();
        writers = engineView.registry().writers();
        eligible = engineView.eligible();
        affinity = engineView.affinity();
        load = engineView.load();
        latency = engineView.latency();
        capacity = engineView.capacity();
        zone = settings.zone();
        writersCanRead = settings.writersCanRead();
    }

    /** The engine to read a generation's prompt, or null if the generation has to wait. */
    Engine select(Generation generation) {
        return capacity.hasTotalCapacityFor(generation) ? selectFromPool(generation) : null;
    }

    private Engine selectFromPool(Generation generation) {
        double nowMs = actions.nowMs();
        List<Engine> eligibleReaders = eligible.of(readers, generation);
        List<Engine> candidates = new ArrayList<>(affinity.readersOf(generation));
        candidates.retainAll(eligibleReaders);
        Engine preferredReader =
                generation.sessionPrefix == null ? null : generation.sessionPrefix.lastReader();
        if (preferredReader == null || !eligibleReaders.contains(preferredReader)) {
            preferredReader = candidates.isEmpty() ? null : candidates.get(0);
        } else if (!candidates.contains(preferredReader)) {
            candidates.add(preferredReader);
        }
        if (preferredReader != null
                && hasShortBacklog(preferredReader, nowMs)
                && !StateTransfers.areLate(preferredReader, nowMs)) {
            return preferredReader;
        }
        // Deviation from the paper: while any affinity reader is eligible, no other reader is used.
        // Guards against: reading a cached prefix again on another reader doubles the work and
        // evicts other prefixes, until every read is long. If no reader has a short backlog, a
        // writer that can read takes both prompt and answer.
        candidates = candidates.isEmpty() ? eligibleReaders : candidates;
        boolean transfersLate = candidates.stream().anyMatch(e -> StateTransfers.areLate(e, nowMs));
        addWritersThatRead(candidates, generation, transfersLate, nowMs);
        return selectBest(candidates, preferredReader, generation, transfersLate);
    }

    private boolean hasShortBacklog(Engine engine, double nowMs) {
        return latency.backlogMs(engine, nowMs) <= SHORT_BACKLOG_MS;
    }

    private void addWritersThatRead(
            List<Engine> candidates, Generation generation, boolean transfersLate, double nowMs) {
        double meanStreams = writers.stream().mapToDouble(load::streamsPerUnit).average().orElse(0);
        for (Engine engine : eligible.of(writers, generation)) {
            if ((engine.role() == Role.BOTH || writersCanRead)
                    && capacity.hasCapacity(engine, generation)
                    && hasShortBacklog(engine, nowMs)
                    && load.streams(engine)
                            <= (transfersLate
                                            ? SELF_READ_STREAMS_FACTOR_LATE
                                            : SELF_READ_STREAMS_FACTOR)
                                    * meanStreams
                                    * engine.capacityWeight()) {
                candidates.add(engine);
            }
        }
    }

    private Engine selectBest(
            List<Engine> candidates,
            Engine preferredReader,
            Generation generation,
            boolean transfersLate) {
        double nowMs = actions.nowMs();
        double limitMs = backlogLimitMs(generation);
        Engine best = null;
        double bestTokens = 0;
        int bestRank = 0;
        for (Engine engine : candidates) {
            double backlogMs = latency.backlogMs(engine, nowMs);
            int rank = rank(engine, backlogMs, transfersLate, nowMs);
            double unread = affinity.tokensToRead(generation, engine);
            double tokens = load.unreadTokens(engine, nowMs) + unread;
            double firstTokenAtMs =
                    nowMs
                            + backlogMs
                            + unread * latency.msPerToken(engine, nowMs)
                            + latency.firstTokenMs();
            boolean inTime = generation.clientRetry || firstTokenAtMs < generation.sloDeadlineMs();
            boolean better =
                    best == null || rank < bestRank || (rank == bestRank && tokens < bestTokens);
            if (backlogMs <= limitMs && inTime && better) {
                best = engine;
                bestTokens = tokens;
                bestRank = rank;
            }
        }
        return best != null
                        && preferredReader != null
                        && isCheaper(preferredReader, bestTokens, generation, limitMs)
                ? preferredReader
                : best;
    }

    /**
     * Backlog above which a reader is overloaded for a generation, between {@link
     * #SHORT_BACKLOG_MS} and {@link #OVERLOADED_BACKLOG_MS}.
     *
     * <p>Guards against: with a common limit, routers that use the same outdated report would all
     * stop and resume sending at once; so each generation has its own random limit. A client's
     * retry, which is too late for full revenue, uses only readers with a short backlog.
     */
    private static double backlogLimitMs(Generation generation) {
        return SHORT_BACKLOG_MS
                + (generation.clientRetry ? 0 : generation.randomFraction())
                        * (OVERLOADED_BACKLOG_MS - SHORT_BACKLOG_MS);
    }

    /** Preference of an engine, lowest first; tokens decide between equal ranks. */
    private int rank(Engine engine, double backlogMs, boolean transfersLate, double nowMs) {
        boolean sameZone = engine.zone().equals(zone);
        if (engine.role() != Role.READER) {
            return transfersLate ? 1 : sameZone ? 2 : 3;
        }
        if (backlogMs > SHORT_BACKLOG_MS || StateTransfers.areLate(engine, nowMs)) {
            return 2;
        }
        return sameZone ? 0 : 1;
    }

    /**
     * Whether the preferred reader costs less than the best candidate. Deviation from the paper: a
     * preferred reader without a short backlog is still selected if its unread tokens, with this
     * prompt, are fewer than the best candidate's.
     */
    private boolean isCheaper(
            Engine preferredReader, double bestTokens, Generation generation, double limitMs) {
        double nowMs = actions.nowMs();
        return latency.backlogMs(preferredReader, nowMs) <= limitMs
                && load.unreadTokens(preferredReader, nowMs)
                                + affinity.tokensToRead(generation, preferredReader)
                        < bestTokens;
    }
}
