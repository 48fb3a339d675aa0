package larchridge.policy;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.SlidingWindowMean;

/**
 * The load of each engine as it is likely to be now: this router's own attempts, exactly, plus the
 * other routers', from the engine's last load report, faded by its age.
 */
final class LoadEstimator {
    /** How fast a reader's report fades, in milliseconds: prompts are read within that time. */
    private static final double READER_REPORT_DECAY_MS = 500;

    /** How fast a writer's report fades, in milliseconds: answers stream for seconds. */
    private static final double WRITER_REPORT_DECAY_MS = 2000;

    /** What the report before still counts when the next one comes at once. */
    private static final double PREVIOUS_REPORT_WEIGHT = 0.5;

    /** The part of a prompt that is still to be read, on average, while it is being read. */
    private static final double UNREAD_FRACTION_DURING_READ = 0.5;

    /** How many sends of its own a router must have seen before it takes others to send alike. */
    private static final double SIMILAR_TRAFFIC_SENDS = 0.25;

    private final PolicyActions actions;
    private final int routers;
    private final List<Engine> writers;

    /** The part of a prompt that is not cached where it is read, and its tokens. */
    private final SlidingWindowMean unreadFractions = new SlidingWindowMean(20, 1000);

    private final SlidingWindowMean unreadTokensPerRead = new SlidingWindowMean(20, 1000);

    /** What engines usually report beside this router's own attempts, per unit of weight. */
    private final SlidingWindowMean otherRoutersUnreadMean = new SlidingWindowMean(5, 1000);

    private final SlidingWindowMean otherRoutersTokensMean = new SlidingWindowMean(5, 1000);
    private final SlidingWindowMean otherRoutersStreamsMean = new SlidingWindowMean(5, 1000);

    /** Tokens and number of this router's own sends to writers. */
    private final SlidingWindowMean sentWrites = new SlidingWindowMean(10, 1000);

    LoadEstimator(RoutingSettings settings, PolicyActions actions, List<Engine> writers) {
        this.actions = actions;
        this.writers = writers;
        routers = settings.routers();
    }

    /** Counts a completed read by what of the prompt was not cached. */
    void recordRead(double unreadTokens, int promptTokens, double nowMs) {
        unreadFractions.add(nowMs, unreadTokens, promptTokens);
        unreadTokensPerRead.add(nowMs, unreadTokens, 1);
    }

    /** Counts an attempt that is about to be sent to a writer. */
    void recordWrite(Attempt write, double nowMs) {
        write.engine.recordWrite(write.countedTokens, nowMs);
        sentWrites.add(nowMs, write.countedTokens, 1);
    }

    /** Takes in what an engine reports of its load. */
    void recordReport(Engine engine, LoadReport report, double nowMs) {
        double previousWeight = PREVIOUS_REPORT_WEIGHT * Math.exp((engine.lastReportMs() - nowMs) / WRITER_REPORT_DECAY_MS);
        engine.recordReport(nowMs);
        if (engine.role() == Role.READER) {
            recordReaderReport(engine, report, nowMs);
        } else {
            recordWriterReport(engine, report, previousWeight, nowMs);
        }
    }

    /**
     * Reports count whole prompts, also what of them is cached, but not what is left of a prompt
     * that is being read.
     */
    private void recordReaderReport(Engine engine, LoadReport report, double nowMs) {
        double partlyRead = orZero(report.inflight() - orZero(report.queue())) * UNREAD_FRACTION_DURING_READ;
        double unread =
                orZero(report.pendingTokens()) * unreadFractions.mean(nowMs)
                        + partlyRead * unreadTokensPerRead.mean(nowMs);
        engine.setOtherRoutersUnreadTokens(Math.max(0, unread - engine.unreadTokens()));
        otherRoutersUnreadMean.add(nowMs, engine.otherRoutersUnreadTokens(), 1);
    }

    private void recordWriterReport(Engine engine, LoadReport report, double previousWeight, double nowMs) {
        double pending = orZero(report.pendingTokens());
        engine.setOtherRoutersUnreadTokens(Math.max(0, pending - engine.unreadTokens()));
        engine.countReportedStreams(nowMs);
        double own = engine.reportedWriteTokens(nowMs);
        // Guards against: a full writer's memory share says nothing of the states that queue for
        // it.
        double tokens = orZero(report.memoryShare() * engine.memoryTokens() + pending - own);
        double streams = orZero(report.inflight() - engine.reportedOwnStreams());
        engine.adjustOtherRoutersLoad(Math.max(0, tokens), Math.max(0, streams), 1 - previousWeight);
        otherRoutersTokensMean.add(nowMs, engine.otherRoutersTokens(), engine.units());
        otherRoutersStreamsMean.add(nowMs, engine.otherRoutersStreams(), engine.units());
    }

    /**
     * Prompt tokens that wait to be read at an engine: this router's own and, by a fresh report,
     * the others', since a router's own sends are only a sliver of the traffic.
     */
    double unreadTokens(Engine engine, double nowMs) {
        double weight = Math.exp((engine.lastReportMs() - nowMs) / READER_REPORT_DECAY_MS);
        double typical = engine.role() == Role.READER ? (1 - weight) * otherRoutersUnreadMean.mean(nowMs) : 0;
        return engine.unreadTokens() + weight * engine.otherRoutersUnreadTokens() + typical;
    }

    /** Tokens that an engine holds for answers. */
    double heldTokens(Engine engine) {
        double meanPerSend = sentWrites.mean(actions.nowMs());
        return estimate(
                engine, engine.writeTokens(), engine.otherRoutersTokens(), otherRoutersTokensMean, meanPerSend);
    }

    /** Answers that an engine streams. */
    double streams(Engine engine) {
        return estimate(engine, engine.streams(), engine.otherRoutersStreams(), otherRoutersStreamsMean, 1);
    }

    /** Answers that an engine streams per unit of its weight. */
    double streamsPerUnit(Engine engine) {
        return streams(engine) / engine.units();
    }

    /** Tokens that an engine holds per unit of its weight. */
    double heldTokensPerUnit(Engine engine) {
        return heldTokens(engine) / engine.units();
    }

    /**
     * A load as it is likely to be now: the own part, the others' by a report that fades into what
     * writers usually report, and the others' sends since then.
     *
     * <p>Guards against: each own send counted as one of every router would outweigh all reports;
     * the more routers there are, the less a router's own few sends say of the others'.
     */
    private double estimate(
            Engine engine, double own, double otherRouters, SlidingWindowMean reported, double meanPerSend) {
        double nowMs = actions.nowMs();
        double weight = Math.exp((engine.lastReportMs() - nowMs) / WRITER_REPORT_DECAY_MS);
        double typical = reported.mean(nowMs) * engine.units();
        double reportAgeMs = Math.min(nowMs - engine.lastReportMs(), WRITER_REPORT_DECAY_MS);
        double expectedSends = sentWrites.weight(nowMs) / sentWrites.spanMs() * reportAgeMs / writers.size();
        double ownSends = Math.max(0, engine.streams() - engine.reportedOwnStreams());
        double otherRoutersSends = (routers - 1) * expectedSends * (ownSends - expectedSends) / (SIMILAR_TRAFFIC_SENDS + expectedSends);
        return own + Math.max(0, weight * otherRouters + (1 - weight) * typical + otherRoutersSends * meanPerSend);
    }

    private static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
