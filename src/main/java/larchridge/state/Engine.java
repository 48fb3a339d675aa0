package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A model server as one router sees it: its entry in the endpoint list, this router's attempts
 * there, and what was learned of its load, speed and health. Owned by the router's event loop.
 */
public final class Engine {
    /** Its id in the endpoint list. */
    public final long id;

    // The entry in the endpoint list.
    Role role;
    EndpointState state;
    String zone;
    long rack;
    private double units = 1;
    private double memoryTokens;
    private double startMs;

    // This router's attempts.
    private final List<Attempt> attempts = new ArrayList<>();
    double unreadTokens;
    private double writeTokens;
    int streams;

    // Speed, in tokens a millisecond, and starts of transfers, of late.
    private final SlidingWindow completedReads = new SlidingWindow(10, 1000);
    private final SlidingWindow readSpeeds = new SlidingWindow(10, 1000);
    private final SlidingWindowMean transferStarts = new SlidingWindowMean(3, 1000);

    // Load by its reports; fresh is what was sent so lately that no report counts it yet.
    private boolean reported;
    double lastReportMs = Double.NEGATIVE_INFINITY;
    private double lastProbeMs = Double.NEGATIVE_INFINITY;
    double otherRoutersTokens;
    double otherRoutersStreams;
    double otherRoutersUnreadTokens;
    private double reportedOwnStreams;
    private final SlidingWindow recentWriteTokens = new SlidingWindow(5, 100);
    private final SlidingWindow recentStreams = new SlidingWindow(5, 100);

    // Health.
    private double fullUntilMs;
    double ejectedUntilMs;
    private double ejectionMs;
    private boolean onProbation;
    private double errorRate;
    double lastContactMs = Double.NEGATIVE_INFINITY;

    private double processListedMs = Double.NEGATIVE_INFINITY;
    private double lastSlowStartDrawMs;

    /** An engine that no list has named yet. */
    public Engine(long id) {
        this.id = id;
    }

    // ------------------------------------------------------------------ the endpoint list

    /** What it does: read prompts, write answers, or both. */
    public Role role() {
        return role;
    }

    /** Whether it may get attempts, by the list. */
    public EndpointState state() {
        return state;
    }

    /** Its zone. */
    public String zone() {
        return zone;
    }

    /** Its rack within all zones. */
    public long rack() {
        return rack;
    }

    /** Its weight beside others of its kind. */
    public double units() {
        return units;
    }

    /** Tokens that it has memory for, or NaN where that is not known. */
    public double memoryTokens() {
        return memoryTokens;
    }

    /** When its process started, or 0 where that is not known. */
    public double startMs() {
        return startMs;
    }

    /** Takes an entry of the list over. */
    void apply(EndpointUpdate entry) {
        state = entry.state();
        startMs = entry.startMs();
        units = entry.units() > 0 ? entry.units() : 1;
        zone = entry.zone();
        rack = entry.rack();
        role = entry.role();
        memoryTokens = entry.memoryTokens();
    }

    /** The list no longer names it. */
    void remove() {
        state = EndpointState.REMOVED;
    }

    /** Drops what was learned of a process that has ended. */
    void resetForNewProcess(double nowMs) {
        processListedMs = nowMs;
        completedReads.clear();
        readSpeeds.clear();
        otherRoutersTokens = 0;
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

    /** Texts that were sent there before this time are no longer cached. */
    double cacheValidSinceMs() {
        return processListedMs;
    }

    // ------------------------------------------------------------------ this router's attempts

    /** This router's attempts in flight there, in the order sent; not to be changed. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Prompt tokens of this router's attempts that are still to be read. */
    public double unreadTokens() {
        return unreadTokens;
    }

    /** Tokens of the answers that this router has in flight there. */
    public double writeTokens() {
        return writeTokens;
    }

    /** Answers that this router has in flight there. */
    public int streams() {
        return streams;
    }

    /** When the oldest attempt with an unread prompt was sent there; NaN if there is none. */
    public double unreadSinceMs() {
        for (Attempt attempt : attempts) {
            if (attempt.unreadTokens() > 0) {
                return attempt.sentMs;
            }
        }
        return Double.NaN;
    }

    /** Counts an attempt that is sent. */
    void opened(Attempt attempt) {
        attempts.add(attempt);
        unreadTokens += attempt.unreadTokens();
        if (!attempt.readOnly) {
            writeTokens += attempt.countedTokens;
            streams++;
        }
    }

    /** Takes so many tokens off what is still to be read. */
    void promptRead(double tokens) {
        unreadTokens = Math.max(0, unreadTokens - tokens);
    }

    /** No longer counts an attempt. */
    void closed(Attempt attempt) {
        attempts.remove(attempt);
        if (!attempt.readOnly) {
            writeTokens = attempts.isEmpty() ? 0 : Math.max(0, writeTokens - attempt.countedTokens);
            streams = Math.max(0, streams - 1);
        }
    }

    // ------------------------------------------------------------------ speed

    /** Counts a completed read by its speed. */
    public void recordRead(double tokensPerMs, double nowMs) {
        readSpeeds.addMax(nowMs, tokensPerMs);
        completedReads.add(nowMs, 1);
    }

    /** How many reads have completed there of late. */
    public double recentReads(double nowMs) {
        return completedReads.sum(nowMs);
    }

    /** The best speed of a read of late, in tokens a millisecond. */
    public double maxReadSpeed(double nowMs) {
        return readSpeeds.max(nowMs);
    }

    /** Counts how long the transfer of a state that was read here took to start. */
    public void recordTransferStart(double tookMs, double nowMs) {
        transferStarts.add(nowMs, tookMs, 1);
    }

    /** How long transfers of states that were read here took to start of late, on average. */
    public double meanTransferStartMs(double nowMs) {
        return transferStarts.mean(nowMs);
    }

    // ------------------------------------------------------------------ reported load

    /** Counts tokens of an answer that is sent there. */
    public void recordWrite(double tokens, double nowMs) {
        recentWriteTokens.add(nowMs, tokens);
        recentStreams.add(nowMs, 1);
    }

    /** Notes that its load was requested. */
    public void recordProbe(double nowMs) {
        lastProbeMs = nowMs;
    }

    /** Notes that it has reported its load. */
    public void recordReport(double nowMs) {
        reported = true;
        lastReportMs = nowMs;
    }

    /** Whether its process has ever reported its load. */
    public boolean hasReported() {
        return reported;
    }

    /** When it reported its load last. */
    public double lastReportMs() {
        return lastReportMs;
    }

    /** When its load was last requested or reported. */
    public double lastProbeOrReportMs() {
        return Math.max(lastProbeMs, lastReportMs);
    }

    /** Whether its load was requested and has not been reported since. */
    public boolean isReportPending() {
        return lastReportMs < lastProbeMs;
    }

    /** Tokens of this router's answers that a report counts by now. */
    public double reportedWriteTokens(double nowMs) {
        return Math.max(0, writeTokens - recentWriteTokens.sum(nowMs));
    }

    /** Takes over how many of this router's answers the report that has just come counts. */
    public void countReportedStreams(double nowMs) {
        reportedOwnStreams = Math.max(0, streams - recentStreams.sum(nowMs));
    }

    /** This router's answers that the last report counted. */
    public double reportedOwnStreams() {
        return reportedOwnStreams;
    }

    /** Other routers' prompt tokens that waited there at its last report. */
    public double otherRoutersUnreadTokens() {
        return otherRoutersUnreadTokens;
    }

    /** Sets other routers' prompt tokens by a report. */
    public void setOtherRoutersUnreadTokens(double tokens) {
        otherRoutersUnreadTokens = tokens;
    }

    /** Other routers' tokens held there, by its reports. */
    public double otherRoutersTokens() {
        return otherRoutersTokens;
    }

    /** Other routers' answers streamed there, by its reports. */
    public double otherRoutersStreams() {
        return otherRoutersStreams;
    }

    /** Moves the estimate of other routers' load towards a report by the given weight. */
    public void adjustOtherRoutersLoad(double tokens, double streamCount, double weight) {
        otherRoutersTokens += weight * (tokens - otherRoutersTokens);
        otherRoutersStreams += weight * (streamCount - otherRoutersStreams);
    }

    // ------------------------------------------------------------------ health

    /** When anything was heard from it last. */
    public double lastContactMs() {
        return lastContactMs;
    }

    /** Notes that something was heard from it. */
    public void recordContact(double nowMs) {
        lastContactMs = nowMs;
    }

    /** The share of errors in its answers of late. */
    public double errorRate() {
        return errorRate;
    }

    /** Counts an answer, 1 for an error and 0 for none, by the weight of the newest answer. */
    public void recordAnswer(int error, double weight) {
        errorRate += weight * (error - errorRate);
    }

    /** Whether it was full a short while ago. */
    public boolean isFull(double nowMs) {
        return nowMs < fullUntilMs;
    }

    /** It is full until a time. */
    public void recordFull(double untilMs) {
        fullUntilMs = untilMs;
    }

    /** Whether it is ejected. */
    public boolean isEjected(double nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** Until when it is ejected, or 0. */
    public double ejectedUntilMs() {
        return ejectedUntilMs;
    }

    /** How long its last ejection was to last, before it was spread; 0 since it was taken back. */
    public double ejectionMs() {
        return ejectionMs;
    }

    /** Whether it gets no more than one attempt, to see whether it works. */
    public boolean isOnProbation() {
        return onProbation;
    }

    /** Ejects it until a time; then it is on trial. */
    public void eject(double lastsMs, double untilMs) {
        ejectionMs = lastsMs;
        ejectedUntilMs = untilMs;
        onProbation = true;
    }

    /** Takes it back from ejection and trial. */
    public void uneject() {
        ejectedUntilMs = 0;
        ejectionMs = 0;
        onProbation = false;
    }

    /** When its slow start was last drawn for, or its process was listed. */
    public double lastSlowStartDrawMs() {
        return lastSlowStartDrawMs;
    }

    /** Notes a draw of its slow start. */
    public void recordSlowStartDraw(double nowMs) {
        lastSlowStartDrawMs = nowMs;
    }
}
