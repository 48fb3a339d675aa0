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
    private final SlidingWindow reads = new SlidingWindow(10, 1000);
    private final SlidingWindow speeds = new SlidingWindow(10, 1000);
    private final SlidingWindowMean transferStarts = new SlidingWindowMean(3, 1000);

    // Load by its reports; fresh is what was sent so lately that no report counts it yet.
    private boolean reported;
    double reportMs = Double.NEGATIVE_INFINITY;
    private double probedMs = Double.NEGATIVE_INFINITY;
    double othersTokens;
    double othersStreams;
    double othersUnreadTokens;
    private double reportedOwnStreams;
    private final SlidingWindow freshTokens = new SlidingWindow(5, 100);
    private final SlidingWindow freshStreams = new SlidingWindow(5, 100);

    // Health.
    private double fullUntilMs;
    double ejectedUntilMs;
    private double ejectionMs;
    private boolean onTrial;
    private double errorShare;
    double heardMs = Double.NEGATIVE_INFINITY;

    private double processKnownSinceMs = Double.NEGATIVE_INFINITY;
    private double slowStartDrawMs;

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
    void forgetProcess(double nowMs) {
        processKnownSinceMs = nowMs;
        reads.clear();
        speeds.clear();
        othersTokens = 0;
        othersStreams = 0;
        reportedOwnStreams = 0;
        reported = false;
        reportMs = Double.NEGATIVE_INFINITY;
        fullUntilMs = 0;
        ejectedUntilMs = 0;
        ejectionMs = 0;
        onTrial = false;
        errorShare = 0;
        slowStartDrawMs = nowMs;
    }

    /** Texts that were sent there before this time are no longer cached. */
    double cachedSinceMs() {
        return processKnownSinceMs;
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
        if (!attempt.read) {
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
        if (!attempt.read) {
            writeTokens = attempts.isEmpty() ? 0 : Math.max(0, writeTokens - attempt.countedTokens);
            streams = Math.max(0, streams - 1);
        }
    }

    // ------------------------------------------------------------------ speed

    /** Counts a completed read by its speed. */
    public void recordRead(double tokensPerMs, double nowMs) {
        speeds.addMax(nowMs, tokensPerMs);
        reads.add(nowMs, 1);
    }

    /** How many reads have completed there of late. */
    public double recentReads(double nowMs) {
        return reads.sum(nowMs);
    }

    /** The best speed of a read of late, in tokens a millisecond. */
    public double bestReadSpeed(double nowMs) {
        return speeds.max(nowMs);
    }

    /** Counts how long the transfer of a state that was read here took to start. */
    public void recordTransferStart(double tookMs, double nowMs) {
        transferStarts.add(nowMs, tookMs, 1);
    }

    /** How long transfers of states that were read here took to start of late, on average. */
    public double meanTransferStartMs(double nowMs) {
        return transferStarts.at(nowMs);
    }

    // ------------------------------------------------------------------ reported load

    /** Counts tokens of an answer that is sent there. */
    public void recordWrite(double tokens, double nowMs) {
        freshTokens.add(nowMs, tokens);
        freshStreams.add(nowMs, 1);
    }

    /** Notes that its load was requested. */
    public void recordProbe(double nowMs) {
        probedMs = nowMs;
    }

    /** Notes that it has reported its load. */
    public void recordReport(double nowMs) {
        reported = true;
        reportMs = nowMs;
    }

    /** Whether its process has ever reported its load. */
    public boolean hasReported() {
        return reported;
    }

    /** When it reported its load last. */
    public double reportMs() {
        return reportMs;
    }

    /** When its load was last requested or reported. */
    public double lastProbeOrReportMs() {
        return Math.max(probedMs, reportMs);
    }

    /** Whether its load was requested and has not been reported since. */
    public boolean isReportAwaited() {
        return reportMs < probedMs;
    }

    /** Tokens of this router's answers that a report counts by now. */
    public double settledWriteTokens(double nowMs) {
        return Math.max(0, writeTokens - freshTokens.sum(nowMs));
    }

    /** Takes over how many of this router's answers the report that has just come counts. */
    public void countReportedStreams(double nowMs) {
        reportedOwnStreams = Math.max(0, streams - freshStreams.sum(nowMs));
    }

    /** This router's answers that the last report counted. */
    public double reportedOwnStreams() {
        return reportedOwnStreams;
    }

    /** Other routers' prompt tokens that waited there at its last report. */
    public double othersUnreadTokens() {
        return othersUnreadTokens;
    }

    /** Sets other routers' prompt tokens by a report. */
    public void setOthersUnreadTokens(double tokens) {
        othersUnreadTokens = tokens;
    }

    /** Other routers' tokens held there, by its reports. */
    public double othersTokens() {
        return othersTokens;
    }

    /** Other routers' answers streamed there, by its reports. */
    public double othersStreams() {
        return othersStreams;
    }

    /** Moves the estimate of other routers' load towards a report by the given weight. */
    public void adjustOthersLoad(double tokens, double streamCount, double weight) {
        othersTokens += weight * (tokens - othersTokens);
        othersStreams += weight * (streamCount - othersStreams);
    }

    // ------------------------------------------------------------------ health

    /** When anything was heard from it last. */
    public double heardMs() {
        return heardMs;
    }

    /** Notes that something was heard from it. */
    public void recordContact(double nowMs) {
        heardMs = nowMs;
    }

    /** The share of errors in its answers of late. */
    public double errorShare() {
        return errorShare;
    }

    /** Counts an answer, 1 for an error and 0 for none, by the weight of the newest answer. */
    public void recordAnswer(int error, double weight) {
        errorShare += weight * (error - errorShare);
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
    public boolean isOnTrial() {
        return onTrial;
    }

    /** Ejects it until a time; then it is on trial. */
    public void eject(double lastsMs, double untilMs) {
        ejectionMs = lastsMs;
        ejectedUntilMs = untilMs;
        onTrial = true;
    }

    /** Takes it back from ejection and trial. */
    public void takeBack() {
        ejectedUntilMs = 0;
        ejectionMs = 0;
        onTrial = false;
    }

    /** When its slow start was last drawn for, or its process was listed. */
    public double slowStartDrawMs() {
        return slowStartDrawMs;
    }

    /** Notes a draw of its slow start. */
    public void recordSlowStartDraw(double nowMs) {
        slowStartDrawMs = nowMs;
    }
}
