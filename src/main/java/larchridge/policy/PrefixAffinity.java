package larchridge.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.CachedPrefix;
import larchridge.state.Engine;
import larchridge.state.EngineRegistry;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;
import larchridge.state.SlidingWindowMean;

/**
 * Determines the few readers that prompts with the same prefix should go to, to hit their prefix
 * caches, and estimates how much of a prompt is cached on a reader.
 *
 * <p>The readers are chosen by rendezvous hashing of prefix and session, with the same hash on all
 * routers: each router sees only a small part of the traffic, and only a common hash keeps a prefix
 * in one place. A prefix has a few readers in each zone; a session prefers one of them.
 */
final class PrefixAffinity {
    /** Readers per prefix in a zone: two, so that losing one does not lose the cached prefix. */
    private static final int READERS_PER_ZONE = 2;

    /** Minimum cost of a read in tokens, however much of the prompt is cached. */
    private static final double MIN_TOKENS_TO_READ = 32;

    private final PolicyActions actions;
    private final EngineRegistry registry;
    private final String zone;

    /** Fraction of a prompt that was cached on the first of its affinity readers. */
    private final SlidingWindowMean cachedFractions = new SlidingWindowMean(20, 1000);

    PrefixAffinity(RoutingSettings settings, PolicyActions actions, EngineRegistry registry) {
        this.actions = actions;
        this.registry = registry;
        zone = settings.zone();
    }

    /** Cost of a read in tokens: prompt tokens that are not cached, but at least the minimum. */
    static double tokensToRead(int promptTokens, int cachedTokens) {
        return Math.max(promptTokens - cachedTokens, MIN_TOKENS_TO_READ);
    }

    /**
     * The affinity readers of a generation, best first, the router's own zone before others. The
     * caller must not modify the list, which belongs to the generation.
     */
    List<Engine> readersOf(Generation generation) {
        CachedPrefix selectingPrefix =
                generation.sharedPrefix != null
                        ? generation.sharedPrefix
                        : generation.sessionPrefix;
        if (generation.affinityRevision() != registry.revision() && selectingPrefix != null) {
            generation.setAffinityRevision(registry.revision());
            generation.affinityReaders().clear();
            addReaders(selectingPrefix, generation.affinityReaders());
            CachedPrefix orderingPrefix =
                    generation.sessionPrefix != null ? generation.sessionPrefix : selectingPrefix;
            generation
                    .affinityReaders()
                    .sort(
                            Comparator.comparing((Engine engine) -> !engine.zone().equals(zone))
                                    .thenComparing(
                                            Comparator.comparingLong(
                                                            orderingPrefix::rendezvousWeight)
                                                    .reversed()));
        }
        return generation.affinityReaders();
    }

    private void addReaders(CachedPrefix prefix, List<Engine> chosen) {
        List<Engine> byAffinity = new ArrayList<>(registry.readers());
        byAffinity.sort(Comparator.comparingLong(prefix::rendezvousWeight).reversed());
        for (Engine reader : byAffinity) {
            long inZone = chosen.stream().filter(e -> e.zone().equals(reader.zone())).count();
            if (inZone < READERS_PER_ZONE) {
                chosen.add(reader);
            }
        }
    }

    /** Estimated tokens that a reader would have to read of a generation's prompt. */
    double tokensToRead(Generation generation, Engine reader) {
        int cached =
                Math.max(
                        cachedTokens(generation.sharedPrefix, reader, generation.sharedTokens),
                        cachedTokens(generation.sessionPrefix, reader, generation.promptTokens));
        List<Engine> readers = readersOf(generation);
        if (readers.contains(reader)) {
            cached =
                    Math.max(
                            cached,
                            reader == readers.get(0)
                                    ? typicalCachedTokens(generation)
                                    : generation.sharedTokens);
        }
        return tokensToRead(generation.promptTokens, cached);
    }

    /** Fewest tokens any reader would have to read of a generation's prompt; 0 without readers. */
    double minTokensToRead(Generation generation) {
        return registry.readers().stream()
                .mapToDouble(reader -> tokensToRead(generation, reader))
                .min()
                .orElse(0);
    }

    private static int cachedTokens(CachedPrefix prefix, Engine reader, int maxTokens) {
        return prefix == null ? 0 : Math.min(prefix.cachedTokensAt(reader), maxTokens);
    }

    private int typicalCachedTokens(Generation generation) {
        return (int) (cachedFractions.mean(actions.nowMs()) * generation.promptTokens);
    }

    /** Records that a reader will have the prefixes of a generation cached. */
    void recordSent(Generation generation, Engine reader, double nowMs) {
        if (generation.sessionPrefix != null) {
            generation.sessionPrefix.recordSent(reader, generation.promptTokens, nowMs);
        }
        if (generation.sharedPrefix != null) {
            generation.sharedPrefix.recordSent(reader, generation.sharedTokens, nowMs);
        }
    }

    /** Records how much of a prompt was cached, if its first affinity reader has read it. */
    void recordRead(Attempt read, int cachedTokens, double nowMs) {
        if (readersOf(read.generation).indexOf(read.engine) == 0) {
            cachedFractions.add(nowMs, cachedTokens, read.generation.promptTokens);
        }
    }
}
