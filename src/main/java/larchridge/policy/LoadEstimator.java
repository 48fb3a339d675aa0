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
    private static final double READ_REPORT_MS = 500;

    /** How fast a writer's report fades, in milliseconds: answers stream for seconds. */
    private static final double WRITE_REPORT_MS = 2000;

    /** What the report before still counts when the next one comes at once. */
    private static final double REPORT_KEPT = 0.5;

    /** The part of a prompt that is still to be read, on average, while it is being read. */
    private static final double BEING_READ = 0.5;

    /** How many sends of its own a router must have seen before it takes others to send alike. */
    private static final double LIKE_OTHERS = 0.25;

    private final PolicyActions actions;
    private final int routers;
    private final List<Engine> writers;

    /** The part of a prompt that is not cached where it is read, and its tokens. */
    private final SlidingWindowMean unreadParts = new SlidingWindowMean(20, 1000);

    private final SlidingWindowMean unreadSizes = new SlidingWindowMean(20, 1000);

    /** What engines usually report beside this router's own attempts, per unit of weight. */
    private final SlidingWindowMean reportedUnread = new SlidingWindowMean(5, 1000);

    private final SlidingWindowMean reportedTokens = new SlidingWindowMean(5, 1000);
    private final SlidingWindowMean reportedStreams = new SlidingWindowMean(5, 1000);

    /** Tokens and number of this router's own sends to writers. */
    private final SlidingWindowMean writesSent = new SlidingWindowMean(10, 1000);

    LoadEstimator(RoutingSettings settings, PolicyActions actions, List<Engine> writers) {
        this.actions = actions;
        this.writers = writers;
        routers = settings.routers();
    }

    /** Counts a completed read by what of the prompt was not cached. */
    void recordRead(double unreadTokens, int promptTokens, double nowMs) {
        unreadParts.add(nowMs, unreadTokens, promptTokens);
        unreadSizes.add(nowMs, unreadTokens, 1);
    }

    /** Counts an attempt that is about to be sent to a writer. */
    void recordWrite(Attempt write, double nowMs) {
        write.engine.recordWrite(write.countedTokens, nowMs);
        writesSent.add(nowMs, write.countedTokens, 1);
    }

    /** Takes in what an engine reports of its load. */
    void recordReport(Engine engine, LoadReport report, double nowMs) {
        double kept = REPORT_KEPT * Math.exp((engine.reportMs() - nowMs) / WRITE_REPORT_MS);
        engine.recordReport(nowMs);
        if (engine.role() == Role.READER) {
            recordReaderReport(engine, report, nowMs);
        } else {
            recordWriterReport(engine, report, kept, nowMs);
        }
    }

    /**
     * Reports count whole prompts, also what of them is cached, but not what is left of a prompt
     * that is being read.
     */
    private void recordReaderReport(Engine engine, LoadReport report, double nowMs) {
        double halfRead = orZero(report.inflight() - orZero(report.queue())) * BEING_READ;
        double unread =
                orZero(report.pendingTokens()) * unreadParts.at(nowMs)
                        + halfRead * unreadSizes.at(nowMs);
        engine.setOthersUnreadTokens(Math.max(0, unread - engine.unreadTokens()));
        reportedUnread.add(nowMs, engine.othersUnreadTokens(), 1);
    }

    private void recordWriterReport(Engine engine, LoadReport report, double kept, double nowMs) {
        double pending = orZero(report.pendingTokens());
        engine.setOthersUnreadTokens(Math.max(0, pending - engine.unreadTokens()));
        engine.countReportedStreams(nowMs);
        double own = engine.settledWriteTokens(nowMs);
        // Guards against: a full writer's memory share says nothing of the states that queue for
        // it.
        double tokens = orZero(report.memoryShare() * engine.memoryTokens() + pending - own);
        double streams = orZero(report.inflight() - engine.reportedOwnStreams());
        engine.adjustOthersLoad(Math.max(0, tokens), Math.max(0, streams), 1 - kept);
        reportedTokens.add(nowMs, engine.othersTokens(), engine.units());
        reportedStreams.add(nowMs, engine.othersStreams(), engine.units());
    }

    /**
     * Prompt tokens that wait to be read at an engine: this router's own and, by a fresh report,
     * the others', since a router's own sends are only a sliver of the traffic.
     */
    double unreadTokens(Engine engine, double nowMs) {
        double weight = Math.exp((engine.reportMs() - nowMs) / READ_REPORT_MS);
        double usual = engine.role() == Role.READER ? (1 - weight) * reportedUnread.at(nowMs) : 0;
        return engine.unreadTokens() + weight * engine.othersUnreadTokens() + usual;
    }

    /** Tokens that an engine holds for answers. */
    double heldTokens(Engine engine) {
        double eachSent = writesSent.at(actions.nowMs());
        return estimate(
                engine, engine.writeTokens(), engine.othersTokens(), reportedTokens, eachSent);
    }

    /** Answers that an engine streams. */
    double streams(Engine engine) {
        return estimate(engine, engine.streams(), engine.othersStreams(), reportedStreams, 1);
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
            Engine engine, double own, double others, SlidingWindowMean reported, double eachSent) {
        double nowMs = actions.nowMs();
        double weight = Math.exp((engine.reportMs() - nowMs) / WRITE_REPORT_MS);
        double usual = reported.at(nowMs) * engine.units();
        double sinceMs = Math.min(nowMs - engine.reportMs(), WRITE_REPORT_MS);
        double share = writesSent.weight(nowMs) / writesSent.spanMs() * sinceMs / writers.size();
        double since = Math.max(0, engine.streams() - engine.reportedOwnStreams());
        double sentByOthers = (routers - 1) * share * (since - share) / (LIKE_OTHERS + share);
        return own + Math.max(0, weight * others + (1 - weight) * usual + sentByOthers * eachSent);
    }

    private static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
