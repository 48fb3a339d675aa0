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
    private static final int READER_PROBES_PER_GENERATION = 2;

    /** Writers that are probed, by chance, while a generation is read. */
    private static final int WRITER_PROBES_PER_READ = 3;

    /** A younger report is not requested again, in milliseconds. */
    private static final double MIN_PROBE_INTERVAL_MS = 300;

    /** How long a generation waits for the reports of its readers: a few round trips. */
    private static final double MAX_REPORT_WAIT_MS = 15;

    /** After so long a generation that still waits probes its readers again. */
    private static final double READER_REPROBE_MS = 200;

    private final PolicyActions actions;
    private final PrefixAffinity affinity;
    private final List<Engine> writers;
    private final Random random;
    private final boolean probesAllowed;

    LoadProbes(
            RoutingSettings settings, PolicyActions actions, EngineView engineView, Random random) {
        this.actions = actions;
        this.random = random;
        affinity = engineView.affinity();
        writers = engineView.registry().writers();
        probesAllowed = settings.reportsWithProbes() && settings.probesAllowed();
    }

    /**
     * Whether the readers that would come first for a generation are still to report their load.
     */
    boolean isAwaitingReaderReports(Generation generation) {
        double nowMs = actions.nowMs();
        if (nowMs - generation.readersProbedMs() > READER_REPROBE_MS) {
            generation.recordReadersProbed(nowMs);
            generation.probedReaders().clear();
            List<Engine> readers = affinity.readersOf(generation);
            generation
                    .probedReaders()
                    .addAll(readers.subList(0, Math.min(READER_PROBES_PER_GENERATION, readers.size())));
            generation.probedReaders().forEach(this::probe);
        }
        return probesAllowed
                && nowMs < generation.readersProbedMs() + MAX_REPORT_WAIT_MS
                && generation.probedReaders().stream().anyMatch(Engine::isReportPending);
    }

    /** Probes a few writers while a prompt is read, for the choice that follows. */
    void probeRandomWriters() {
        for (int i = 0; i < WRITER_PROBES_PER_READ && !writers.isEmpty(); i++) {
            probe(writers.get(random.nextInt(writers.size())));
        }
    }

    private void probe(Engine engine) {
        double nowMs = actions.nowMs();
        if (probesAllowed && nowMs - engine.lastProbeOrReportMs() > MIN_PROBE_INTERVAL_MS) {
            engine.recordProbe(nowMs);
            actions.probeLoad(engine);
        }
    }
}
