package larchridge.policy;

import java.util.List;
import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/**
 * Requests load reports where engines give them to probes only.
 *
 * <p>Guards against: routers that probe by the clock probe as often as there are routers; probes
 * that follow generations stay the same few for each, and chance keeps routers from one common
 * choice.
 */
final class LoadProbes {
    /** Affinity readers that are probed when a generation arrives: those that it will go to. */
    private static final int READERS_PROBED = 2;

    /** Writers that are probed, by chance, while a generation is read. */
    private static final int WRITERS_PROBED = 3;

    /** A younger report is not requested again, in milliseconds. */
    private static final double FRESH_MS = 300;

    /** How long a generation waits for the reports of its readers: a few round trips. */
    private static final double REPORT_WAIT_MS = 15;

    /** After so long a generation that still waits probes its readers again. */
    private static final double PROBE_AGAIN_MS = 200;

    private final PolicyActions actions;
    private final PrefixAffinity affinity;
    private final List<Engine> writers;
    private final Random random;
    private final boolean probesAllowed;

    LoadProbes(
            RoutingSettings settings, PolicyActions actions, EngineKnowledge known, Random random) {
        this.actions = actions;
        this.random = random;
        affinity = known.affinity();
        writers = known.registry().writers();
        probesAllowed = settings.reportsWithProbes() && settings.probesAllowed();
    }

    /**
     * Whether the readers that would come first for a generation are still to report their load.
     */
    boolean areReadersAwaited(Generation generation) {
        double nowMs = actions.nowMs();
        if (nowMs - generation.readersProbedMs() > PROBE_AGAIN_MS) {
            generation.recordReadersProbed(nowMs);
            generation.probedReaders().clear();
            List<Engine> readers = affinity.readersOf(generation);
            generation
                    .probedReaders()
                    .addAll(readers.subList(0, Math.min(READERS_PROBED, readers.size())));
            generation.probedReaders().forEach(this::probe);
        }
        return probesAllowed
                && nowMs < generation.readersProbedMs() + REPORT_WAIT_MS
                && generation.probedReaders().stream().anyMatch(Engine::isReportAwaited);
    }

    /** Probes a few writers while a prompt is read, for the choice that follows. */
    void probeSomeWriters() {
        for (int i = 0; i < WRITERS_PROBED && !writers.isEmpty(); i++) {
            probe(writers.get(random.nextInt(writers.size())));
        }
    }

    private void probe(Engine engine) {
        double nowMs = actions.nowMs();
        if (probesAllowed && nowMs - engine.lastProbeOrReportMs() > FRESH_MS) {
            engine.recordProbe(nowMs);
            actions.probeLoad(engine);
        }
    }
}
