package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A model server as seen by one router: its entry in the endpoint list, this router's attempts on
 * it, and its observed load, speed and health. Confined to the router's event loop.
 */
public final class Engine {
    /** Id in the endpoint list. */
    public final long id;

    // Entry in the endpoint list.
    Role role;
    EndpointState state;
    String zone;
    long rack;
    private double capacityWeight = 1;
    private double memoryTokens;
    private double startMs;

    // This router's attempts.
    private final List<Attempt> attempts = new ArrayList<>();
    double unreadTokens;
    private double ownHeldTokens;
    int streams;

    // Recent read speeds in tokens per millisecond, and recent start delays of answers whose state
    // was read on this engine and left its rack.
    private final SlidingWindow completedReads = new SlidingWindow(10, 1000);
    private final SlidingWindow readSpeeds = new SlidingWindow(10, 1000);
    private final SlidingWindowMean transferStartDelays = new SlidingWindowMean(3, 1000);

    // Reported load. The recent windows hold writes too new to be included in a report.
    private boolean reported;
    double lastReportMs = Double.NEGATIVE_INFINITY;
    private double lastProbeMs = Double.NEGATIVE_INFINITY;
    double otherRoutersHeldTokens;
    double otherRoutersStreams;
    double otherRoutersUnreadTokens;
    private double reportedOwnStreams;
    private final SlidingWindow recentHeldTokens = new SlidingWindow(5, 100);
    private final SlidingWindow recentStreams = new SlidingWindow(5, 100);

    // Health.
    private double fullUntilMs;
    double ejectedUntilMs;
    private double ejectionMs;
    private boolean onProbation;
    private double errorRate;
    double lastResponseMs = Double.NEGATIVE_INFINITY;

    private double processListedMs = Double.NEGATIVE_INFINITY;
    private double lastSlowStartDrawMs;

    /** Creates an engine without an endpoint list entry. */
    public Engine(long id) {
        this.id = id;
    }

    // ------------------------------------------------------------------ the endpoint list

    /** The stages the engine serves. */
    public Role role() {
        return role;
    }

    /** Whether the engine may receive attempts, according to the endpoint list. */
    public EndpointState state() {
        return state;
    }

    /** The engine's zone. */
    public String zone() {
        return zone;
    }

    /** The engine's rack; rack ids are unique across zones. */
    public long rack() {
        return rack;
    }

    /** Capacity weight relative to other engines of the same type. */
    public double capacityWeight() {
        return capacityWeight;
    }

    /** Number of tokens that fit in the engine's memory; NaN if unknown. */
    public double memoryTokens() {
        return memoryTokens;
    }

    /** Start time of the engine process; 0 if unknown. */
    public double startMs() {
        return startMs;
    }

    /** Applies an entry of the endpoint list. */
    void apply(EndpointUpdate entry) {
        state = entry.state();
        startMs = entry.startMs();
        capacityWeight = entry.capacityWeight() > 0 ? entry.capacityWeight() : 1;
        zone = entry.zone();
        rack = entry.rack();
        role = entry.role();
        memoryTokens = entry.memoryTokens();
    }

    /** Marks the engine as removed from the endpoint list. */
    void remove() {
        state = EndpointState.REMOVED;
    }

    /** Resets load, speed and health when the engine process was replaced. */
    void resetForNewProcess(double nowMs) {
        processListedMs = nowMs;
        completedReads.clear();
        readSpeeds.clear();
        otherRoutersHeldTokens = 0;
        otherRoutersStreams = 0;
        reportedOwnStreams = 0;
        reported = false;
        lastReportMs = Double.NEGATIVE_INFINITY;
        fullUntilMs = 0;
        ejectedUntilMs = 0;
        ejectionMs = 0;
        onProbation = false;
        errorRate = 0;
        lastSlowStartDrawMs = nowMs;
    }

    /** Prefixes sent to the engine before this time are no longer cached. */
    double cacheValidSinceMs() {
        return processListedMs;
    }

    // ------------------------------------------------------------------ this router's attempts

    /** This router's attempts in flight, in send order; the caller must not modify the list. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Prompt tokens of this router's attempts that the engine still has to read. */
    public double unreadTokens() {
        return unreadTokens;
    }

    /** Tokens held for this router's answers in flight. */
    public double ownHeldTokens() {
        return ownHeldTokens;
    }

    /** Number of this router's answers in flight. */
    public int streams() {
        return streams;
    }

    /** Send time of the oldest attempt with an unread prompt; NaN if there is none. */
    public double unreadSinceMs() {
        for (Attempt attempt : attempts) {
            if (attempt.unreadTokens() > 0) {
                return attempt.sentMs;
            }
        }
        return Double.NaN;
    }

    /** Adds an attempt that is being sent. */
    void opened(Attempt attempt) {
        attempts.add(attempt);
        unreadTokens += attempt.unreadTokens();
        if (!attempt.readsOnly) {
            ownHeldTokens += attempt.heldTokens;
            streams++;
        }
    }

    /** Subtracts tokens that no longer have to be read. */
    void promptRead(double tokens) {
        unreadTokens = Math.max(0, unreadTokens - tokens);
    }

    /** Removes an attempt that has ended. */
    void closed(Attempt attempt) {
        attempts.remove(attempt);
        if (!attempt.readsOnly) {
            ownHeldTokens =
                    attempts.isEmpty() ? 0 : Math.max(0, ownHeldTokens - attempt.heldTokens);
            streams = Math.max(0, streams - 1);
        }
    }

    // ------------------------------------------------------------------ speed

    /** Records the speed of a completed read. */
    public void recordRead(double tokensPerMs, double nowMs) {
        readSpeeds.recordMax(nowMs, tokensPerMs);
        completedReads.add(nowMs, 1);
    }

    /** Number of reads completed in the recent window. */
    public double recentReads(double nowMs) {
        return completedReads.sum(nowMs);
    }

    /** Highest read speed in the recent window, in tokens per millisecond. */
    public double maxReadSpeed(double nowMs) {
        return readSpeeds.max(nowMs);
    }

    /** Records the time to the first token of an answer whose state left this engine's rack. */
    public void recordTransferStartDelay(double delayMs, double nowMs) {
        transferStartDelays.add(nowMs, delayMs, 1);
    }

    /** Mean time to the first token of recent answers whose state left this engine's rack. */
    public double meanTransferStartDelayMs(double nowMs) {
        return transferStartDelays.mean(nowMs);
    }

    // ------------------------------------------------------------------ reported load

    /** Records a write attempt that is being sent, with the tokens that it will hold. */
    public void recordWrite(double tokens, double nowMs) {
        recentHeldTokens.add(nowMs, tokens);
        recentStreams.add(nowMs, 1);
    }

    /** Records that a load report was requested. */
    public void recordProbe(double nowMs) {
        lastProbeMs = nowMs;
    }

    /** Records that a load report was received. */
    public void recordReport(double nowMs) {
        reported = true;
        lastReportMs = nowMs;
    }

    /** Whether the current process has ever reported its load. */
    public boolean hasReported() {
        return reported;
    }

    /** Time of the last load report. */
    public double lastReportMs() {
        return lastReportMs;
    }

    /** Time of the last load probe or report. */
    public double lastProbeOrReportMs() {
        return Math.max(lastProbeMs, lastReportMs);
    }

    /** Whether a probe was sent since the last load report. */
    public boolean isReportPending() {
        return lastReportMs < lastProbeMs;
    }

    /** Tokens held for this router's answers that are old enough to be included in a report. */
    public double reportedOwnHeldTokens(double nowMs) {
        return Math.max(0, ownHeldTokens - recentHeldTokens.sum(nowMs));
    }

    /** Records how many of this router's answers the report just received includes. */
    public void countReportedStreams(double nowMs) {
        reportedOwnStreams = Math.max(0, streams - recentStreams.sum(nowMs));
    }

    /** Number of this router's answers included in the last report. */
    public double reportedOwnStreams() {
        return reportedOwnStreams;
    }

    /** Unread prompt tokens of other routers, according to the last report. */
    public double otherRoutersUnreadTokens() {
        return otherRoutersUnreadTokens;
    }

    /** Sets other routers' unread prompt tokens from a report. */
    public void setOtherRoutersUnreadTokens(double tokens) {
        otherRoutersUnreadTokens = tokens;
    }

    /** Tokens held for other routers' answers, estimated from reports. */
    public double otherRoutersHeldTokens() {
        return otherRoutersHeldTokens;
    }

    /** Number of answers streamed to other routers, estimated from reports. */
    public double otherRoutersStreams() {
        return otherRoutersStreams;
    }

    /** Moves the estimate of other routers' load towards reported values by the given weight. */
    public void adjustOtherRoutersLoad(double tokens, double streamCount, double weight) {
        otherRoutersHeldTokens += weight * (tokens - otherRoutersHeldTokens);
        otherRoutersStreams += weight * (streamCount - otherRoutersStreams);
    }

    // ------------------------------------------------------------------ health

    /** Time of the last response of the engine, also to probes. */
    public double lastResponseMs() {
        return lastResponseMs;
    }

    /** Records a response of the engine. */
    public void recordResponse(double nowMs) {
        lastResponseMs = nowMs;
    }

    /** Exponentially weighted error rate of the engine's responses. */
    public double errorRate() {
        return errorRate;
    }

    /** Updates the error rate with a response: 1 for an error, 0 for a success. */
    public void updateErrorRate(int error, double weight) {
        errorRate += weight * (error - errorRate);
    }

    /** Whether the engine recently rejected an attempt for lack of capacity. */
    public boolean isFull(double nowMs) {
        return nowMs < fullUntilMs;
    }

    /** Treats the engine as full until the given time. */
    public void recordFull(double untilMs) {
        fullUntilMs = untilMs;
    }

    /** Whether the engine is ejected. */
    public boolean isEjected(double nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** End of the ejection, or 0. */
    public double ejectedUntilMs() {
        return ejectedUntilMs;
    }

    /** Duration of the last ejection, before jitter; 0 after unejection. */
    public double ejectionMs() {
        return ejectionMs;
    }

    /** Whether the engine may get only one attempt at a time, to test its recovery. */
    public boolean isOnProbation() {
        return onProbation;
    }

    /**
     * Ejects the engine until the given time; it is on probation afterwards.
     *
     * @param baseDurationMs duration before jitter
     */
    public void eject(double baseDurationMs, double untilMs) {
        ejectionMs = baseDurationMs;
        ejectedUntilMs = untilMs;
        onProbation = true;
    }

    /** Ends ejection and probation. */
    public void uneject() {
        ejectedUntilMs = 0;
        ejectionMs = 0;
        onProbation = false;
    }

    /** Time of the last slow-start draw; until the first one, the time the process was listed. */
    public double lastSlowStartDrawMs() {
        return lastSlowStartDrawMs;
    }

    /** Records a slow-start draw. */
    public void recordSlowStartDraw(double nowMs) {
        lastSlowStartDrawMs = nowMs;
    }
}
