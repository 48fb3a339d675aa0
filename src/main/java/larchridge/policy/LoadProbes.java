package larchridge.policy;

import java.util.List;
import java.util.Random;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;

/**
 * Requests load reports from engines that report their load only in response to probes.
 *
 * <p>Guards against: the rate of periodic probes would grow with the number of routers. Probes per
 * generation stay constant, and random choice keeps routers from all probing the same writers.
 */
final class LoadProbes {
    /** Affinity readers probed when a generation arrives: its most likely targets. */
    private static final int READER_PROBES_PER_GENERATION = 2;

    /** Random writers probed while a prompt is read. */
    private static final int WRITER_PROBES_PER_READ = 3;

    /** Minimum time between a probe or report and the next probe of an engine. */
    private static final double MIN_PROBE_INTERVAL_MS = 300;

    /** Maximum wait of a generation for reports of its readers: a few round trips. */
    private static final double MAX_REPORT_WAIT_MS = 15;

    /** Interval after which a generation that still waits probes its readers again. */
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
     * Probes the first affinity readers of a generation if due, and returns whether the generation
     * has to wait for their load reports.
     */
    boolean awaitReaderReports(Generation generation) {
        double nowMs = actions.nowMs();
        if (nowMs - generation.readersProbedMs() > READER_REPROBE_MS) {
            generation.recordReadersProbed(nowMs);
            generation.probedReaders().clear();
            List<Engine> readers = affinity.readersOf(generation);
            generation
                    .probedReaders()
                    .addAll(
                            readers.subList(
                                    0, Math.min(READER_PROBES_PER_GENERATION, readers.size())));
            generation.probedReaders().forEach(this::probe);
        }
        return probesAllowed
                && nowMs < generation.readersProbedMs() + MAX_REPORT_WAIT_MS
                && generation.probedReaders().stream().anyMatch(Engine::isReportPending);
    }

    /** Probes a few random writers while a prompt is read, to prepare the writer selection. */
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
