package larchridge.router;

import java.util.ArrayList;
import java.util.List;
import larchridge.budget.Charge;
import larchridge.budget.UsageMeter;
import larchridge.site.ProductOffering;
import larchridge.state.Attempt;
import larchridge.state.Generation;

/**
 * A generation that a router has admitted, with its client and its attempts. The client's side of
 * the connection reports through it what happens to the client. Used on the router's loop only.
 */
public final class InFlightRequest {
    private static final long NO_TIMER = -1;

    private final Router router;
    private final GenerationRequest generationRequest;
    private final ResponseSink responseSink;
    private final Generation generation;
    private final Charge charge;
    private final UsageMeter usageMeter;
    private final ResponseGuard responseGuard = new ResponseGuard();
    private final List<InFlightAttempt> attempts = new ArrayList<>(2);

    /** By when an answer in one piece must be complete; infinite for a streamed answer. */
    private final double completionDeadlineMs;

    private String billId;
    private String duplicateKey;
    private InFlightAttempt streamingAttempt;
    private double lastChunkMs;
    private boolean paused;
    private double pausedSinceMs;
    private boolean recorded;
    private long recordedWastedTokens;
    private int recordedAttempts;
    private long deadlineTimer = NO_TIMER;
    private long streamIdleTimer = NO_TIMER;

    InFlightRequest(
            Router router,
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            Generation generation,
            Charge charge,
            double completionDeadlineMs) {
        this.router = router;
        this.generationRequest = generationRequest;
        this.responseSink = responseSink;
        this.generation = generation;
        this.charge = charge;
        this.completionDeadlineMs = completionDeadlineMs;
        usageMeter =
                new UsageMeter(generationRequest.promptTokens(), generationRequest.maxTokens());
    }

    /** The client has disconnected. */
    public void clientDisconnected() {
        router.clientDisconnected(this);
    }

    /** The client can't take more of the answer for now. */
    public void pause() {
        router.pause(this);
    }

    /** The client can take more of the answer again. */
    public void resume() {
        router.resume(this);
    }

    /** Names the generation in logs and answers. */
    public String id() {
        return generation.id;
    }

    GenerationRequest generationRequest() {
        return generationRequest;
    }

    ResponseSink responseSink() {
        return responseSink;
    }

    Generation generation() {
        return generation;
    }

    ResponseGuard responseGuard() {
        return responseGuard;
    }

    UsageMeter usageMeter() {
        return usageMeter;
    }

    Charge charge() {
        return charge;
    }

    ProductOffering offering() {
        return generationRequest.offering();
    }

    boolean isBatch() {
        return generationRequest.offering().isBatch;
    }

    /** By when the answer must begin. */
    double firstTokenDeadlineMs() {
        return generation.deadlineMs;
    }

    double completionDeadlineMs() {
        return completionDeadlineMs;
    }

    double elapsedMs(double nowMs) {
        return nowMs - generation.arrivedMs;
    }

    /** The time since the arrival as a share of the time that its latency objective allows. */
    double latencyObjectiveFraction(double nowMs) {
        return (nowMs - generation.arrivedMs) / (generation.sloDeadlineMs() - generation.arrivedMs);
    }

    // ------------------------------------------------------------------ attempts

    /** All attempts in the order of their numbers; to be read only. */
    List<InFlightAttempt> attempts() {
        return attempts;
    }

    InFlightAttempt attemptOf(Attempt policyAttempt) {
        return attempts.get(policyAttempt.number);
    }

    void addAttempt(InFlightAttempt attempt) {
        attempts.add(attempt);
    }

    /**
     * Whether an attempt that has not ended fetches, or is yet to fetch, the state of this read.
     */
    boolean isStateClaimed(InFlightAttempt read) {
        for (InFlightAttempt attempt : attempts) {
            if (attempt.stateSource() == read && !attempt.isEnded()) {
                return true;
            }
        }
        return false;
    }

    // ------------------------------------------------------------------ the stream to the client

    /** The attempt whose answer goes to the client, or null before an answer has begun. */
    InFlightAttempt streamingAttempt() {
        return streamingAttempt;
    }

    /** Whether what this attempt sends goes to the client. */
    boolean streamsFrom(InFlightAttempt attempt) {
        return streamingAttempt == attempt && !responseGuard.isFinished();
    }

    void startStreaming(InFlightAttempt attempt, double nowMs) {
        streamingAttempt = attempt;
        lastChunkMs = nowMs;
    }

    void chunkReceived(double nowMs) {
        lastChunkMs = nowMs;
    }

    double lastChunkMs() {
        return lastChunkMs;
    }

    boolean isPaused() {
        return paused;
    }

    /** Whether it has been paused without a break since that time. */
    boolean isPausedSince(double sinceMs) {
        return paused && pausedSinceMs == sinceMs;
    }

    void pauseStream(double nowMs) {
        paused = true;
        pausedSinceMs = nowMs;
        if (streamingAttempt != null) {
            streamingAttempt.handle().pause();
        }
    }

    void resumeStream(double nowMs) {
        paused = false;
        lastChunkMs = nowMs;
        if (streamingAttempt != null) {
            streamingAttempt.handle().resume();
        }
    }

    // ------------------------------------------------------------------ billing

    /** The bill that all retries by the client share. */
    String billId() {
        return billId;
    }

    void setBillId(String id) {
        billId = id;
    }

    /** What identical requests without an idempotency key are found by, or null with a key. */
    String duplicateKey() {
        return duplicateKey;
    }

    void setDuplicateKey(String key) {
        duplicateKey = key;
    }

    boolean isRecorded() {
        return recorded;
    }

    /** Whether waste or attempts were added after the use was recorded. */
    boolean hasUnrecordedUsage() {
        return unrecordedWastedTokens() > 0 || unrecordedAttempts() > 0;
    }

    long unrecordedWastedTokens() {
        return usageMeter.wastedTokens() - recordedWastedTokens;
    }

    int unrecordedAttempts() {
        return attempts.size() - recordedAttempts;
    }

    /** Notes whether the use up to now is in the ledger's queue. */
    void markRecorded(boolean queued) {
        recorded = queued;
        recordedWastedTokens = usageMeter.wastedTokens();
        recordedAttempts = attempts.size();
    }

    // ------------------------------------------------------------------ timers

    void setDeadlineTimer(long timer) {
        deadlineTimer = timer;
    }

    void clearDeadlineTimer() {
        deadlineTimer = NO_TIMER;
    }

    void setStreamIdleTimer(long timer) {
        streamIdleTimer = timer;
    }

    void clearStreamIdleTimer() {
        streamIdleTimer = NO_TIMER;
    }

    void cancelTimers(Scheduler scheduler) {
        if (deadlineTimer != NO_TIMER) {
            scheduler.cancel(deadlineTimer);
        }
        if (streamIdleTimer != NO_TIMER) {
            scheduler.cancel(streamIdleTimer);
        }
    }
}
