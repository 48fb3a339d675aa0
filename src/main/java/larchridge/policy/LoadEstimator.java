package larchridge.policy;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.SlidingWindowMean;

/**
 * Estimates the current load of each engine: this router's own attempts, which are known exactly,
 * plus the load of other routers, taken from the engine's last report with a weight that decays
 * with the age of the report.
 */
final class LoadEstimator {
    /** Decay time of a reader's report: prompts are read within that time. */
    private static final double READER_REPORT_DECAY_MS = 500;

    /** Decay time of a writer's report: answers stream for seconds. */
    private static final double WRITER_REPORT_DECAY_MS = 2000;

    /** Weight of the previous report when the next one arrives immediately. */
    private static final double PREVIOUS_REPORT_WEIGHT = 0.5;

    /** Mean fraction of a prompt that is still unread while it is being read. */
    private static final double UNREAD_FRACTION_DURING_READ = 0.5;

    /**
     * Damping of the extrapolation from own sends to other routers': at this many expected own
     * sends, it counts half.
     */
    private static final double EXTRAPOLATION_HALF_WEIGHT_SENDS = 0.25;

    private final PolicyActions actions;
    private final int routers;
    private final List<Engine> writers;

    /** Fraction and number of prompt tokens that were not cached where they were read. */
    private final SlidingWindowMean uncachedFractions = new SlidingWindowMean(20, 1000);

    private final SlidingWindowMean uncachedTokensPerRead = new SlidingWindowMean(20, 1000);

    /**
     * Mean reported load of other routers: unread tokens per engine; held tokens and streams per
     * unit of capacity weight.
     */
    private final SlidingWindowMean otherRoutersUnreadMean = new SlidingWindowMean(5, 1000);

    private final SlidingWindowMean otherRoutersHeldTokensMean = new SlidingWindowMean(5, 1000);
    private final SlidingWindowMean otherRoutersStreamsMean = new SlidingWindowMean(5, 1000);

    /** Tokens and number of this router's own writes. */
    private final SlidingWindowMean sentWrites = new SlidingWindowMean(10, 1000);

    LoadEstimator(RoutingSettings settings, PolicyActions actions, List<Engine> writers) {
        this.actions = actions;
        this.writers = writers;
        routers = settings.routers();
    }

    /** Records how many tokens of a completed read were not cached. */
    void recordRead(double uncachedTokens, int promptTokens, double nowMs) {
        uncachedFractions.add(nowMs, uncachedTokens, promptTokens);
        uncachedTokensPerRead.add(nowMs, uncachedTokens, 1);
    }

    /** Records an attempt that is about to be sent to a writer. */
    void recordWrite(Attempt write, double nowMs) {
        write.engine.recordWrite(write.heldTokens, nowMs);
        sentWrites.add(nowMs, write.heldTokens, 1);
    }

    /** Updates the estimates from a load report of an engine. */
    void recordReport(Engine engine, LoadReport report, double nowMs) {
        double previousWeight =
                PREVIOUS_REPORT_WEIGHT
                        * Math.exp((engine.lastReportMs() - nowMs) / WRITER_REPORT_DECAY_MS);
        engine.recordReport(nowMs);
        if (engine.role() == Role.READER) {
            recordReaderReport(engine, report, nowMs);
        } else {
            recordWriterReport(engine, report, previousWeight, nowMs);
        }
    }

    /**
     * Reported pending tokens include cached tokens of queued prompts, but not the unread rest of
     * prompts that are being read. Both are corrected with this router's own measurements.
     */
    private void recordReaderReport(Engine engine, LoadReport report, double nowMs) {
        double unreadPromptsInProgress =
                orZero(report.inflight() - orZero(report.queue())) * UNREAD_FRACTION_DURING_READ;
        double unread =
                orZero(report.pendingTokens()) * uncachedFractions.mean(nowMs)
                        + unreadPromptsInProgress * uncachedTokensPerRead.mean(nowMs);
        engine.setOtherRoutersUnreadTokens(Math.max(0, unread - engine.unreadTokens()));
        otherRoutersUnreadMean.add(nowMs, engine.otherRoutersUnreadTokens(), 1);
    }

    private void recordWriterReport(
            Engine engine, LoadReport report, double previousWeight, double nowMs) {
        double pending = orZero(report.pendingTokens());
        engine.setOtherRoutersUnreadTokens(Math.max(0, pending - engine.unreadTokens()));
        engine.countReportedStreams(nowMs);
        double own = engine.reportedOwnHeldTokens(nowMs);
        // Guards against: the memory usage of a full writer does not include the states that queue
        // for it, so pending tokens are added.
        double tokens = orZero(report.memoryShare() * engine.memoryTokens() + pending - own);
        double streams = orZero(report.inflight() - engine.reportedOwnStreams());
        engine.adjustOtherRoutersLoad(
                Math.max(0, tokens), Math.max(0, streams), 1 - previousWeight);
        otherRoutersHeldTokensMean.add(
                nowMs, engine.otherRoutersHeldTokens(), engine.capacityWeight());
        otherRoutersStreamsMean.add(nowMs, engine.otherRoutersStreams(), engine.capacityWeight());
    }

    /**
     * Unread prompt tokens on an engine: this router's own plus those of other routers according to
     * a recent report, since a router's own sends are only a small part of the traffic.
     */
    double unreadTokens(Engine engine, double nowMs) {
        double weight = Math.exp((engine.lastReportMs() - nowMs) / READER_REPORT_DECAY_MS);
        double typical =
                engine.role() == Role.READER
                        ? (1 - weight) * otherRoutersUnreadMean.mean(nowMs)
                        : 0;
        return engine.unreadTokens() + weight * engine.otherRoutersUnreadTokens() + typical;
    }

    /** Tokens held in an engine's memory for answers. */
    double heldTokens(Engine engine) {
        double meanPerSend = sentWrites.mean(actions.nowMs());
        return estimate(
                engine,
                engine.ownHeldTokens(),
                engine.otherRoutersHeldTokens(),
                otherRoutersHeldTokensMean,
                meanPerSend);
    }

    /** Number of answers that an engine streams. */
    double streams(Engine engine) {
        return estimate(
                engine, engine.streams(), engine.otherRoutersStreams(), otherRoutersStreamsMean, 1);
    }

    /** Number of answers that an engine streams, per unit of capacity weight. */
    double streamsPerUnit(Engine engine) {
        return streams(engine) / engine.capacityWeight();
    }

    /** Tokens held in an engine's memory for answers, per unit of capacity weight. */
    double heldTokensPerUnit(Engine engine) {
        return heldTokens(engine) / engine.capacityWeight();
    }

    /**
     * Estimated current load: this router's part, and the other routers' part from a report that
     * decays towards the mean reported load. The latter is corrected by how far other routers'
     * sends since the report are likely above or below average, judged by this router's own.
     *
     * <p>Guards against: extrapolating each own send to one send of every router would outweigh all
     * reports; with many routers, the few sends of one router say little about the others. So the
     * extrapolation is damped by {@link #EXTRAPOLATION_HALF_WEIGHT_SENDS}.
     */
    private double estimate(
            Engine engine,
            double own,
            double otherRouters,
            SlidingWindowMean reported,
            double meanPerSend) {
        double nowMs = actions.nowMs();
        double weight = Math.exp((engine.lastReportMs() - nowMs) / WRITER_REPORT_DECAY_MS);
        double typical = reported.mean(nowMs) * engine.capacityWeight();
        double reportAgeMs = Math.min(nowMs - engine.lastReportMs(), WRITER_REPORT_DECAY_MS);
        double expectedSends =
                sentWrites.weight(nowMs) / sentWrites.spanMs() * reportAgeMs / writers.size();
        double ownSends = Math.max(0, engine.streams() - engine.reportedOwnStreams());
        double otherRoutersExtraSends =
                (routers - 1)
                        * expectedSends
                        * (ownSends - expectedSends)
                        / (EXTRAPOLATION_HALF_WEIGHT_SENDS + expectedSends);
        return own
                + Math.max(
                        0,
                        weight * otherRouters
                                + (1 - weight) * typical
                                + otherRoutersExtraSends * meanPerSend);
    }

    private static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
