package larchridge.router;

import java.util.ArrayList;
import java.util.List;
import larchridge.budget.Charge;
import larchridge.budget.UsageMeter;
import larchridge.site.ProductOffering;
import larchridge.state.Attempt;
import larchridge.state.Generation;

/**
 * A generation that a router has admitted, with its client and its attempts. The server reports
 * client events through it. Used on the router's loop only.
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

    /** Deadline for a complete non-streaming response; infinite for a streaming one. */
    private final double completionDeadlineMs;

    private String billId;
    private String duplicateKey;
    private InFlightAttempt streamingAttempt;

    /** Since when the stream counts as idle: its start, its last chunk or its last resumption. */
    private double streamIdleSinceMs;

    private boolean paused;
    private double pausedSinceMs;

    /** Whether the usage was queued for the ledger with the final response. */
    private boolean usageQueued;

    private long queuedWastedTokens;
    private int queuedAttempts;
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

    /** The client disconnected. */
    public void clientDisconnected() {
        router.clientDisconnected(this);
    }

    /** The client cannot receive more of the response for now. */
    public void pause() {
        router.pause(this);
    }

    /** The client can receive more of the response again. */
    public void resume() {
        router.resume(this);
    }

    /** The generation's id in logs and responses. */
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

    /** Deadline for the first token of the response. */
    double firstTokenDeadlineMs() {
        return generation.deadlineMs;
    }

    double completionDeadlineMs() {
        return completionDeadlineMs;
    }

    double elapsedMs(double nowMs) {
        return nowMs - generation.arrivedMs;
    }

    /** The time since the arrival as a fraction of the latency objective. */
    double latencyObjectiveFraction(double nowMs) {
        return (nowMs - generation.arrivedMs) / (generation.sloDeadlineMs() - generation.arrivedMs);
    }

    // ------------------------------------------------------------------ attempts

    /** All attempts in the order of their numbers; must not be modified. */
    List<InFlightAttempt> attempts() {
        return attempts;
    }

    InFlightAttempt attemptOf(Attempt policyAttempt) {
        return attempts.get(policyAttempt.number);
    }

    void addAttempt(InFlightAttempt attempt) {
        attempts.add(attempt);
    }

    /** Whether an attempt that has not ended fetches, or will fetch, the state of this read. */
    boolean isStateClaimed(InFlightAttempt read) {
        for (InFlightAttempt attempt : attempts) {
            if (attempt.stateSource() == read && !attempt.isEnded()) {
                return true;
            }
        }
        return false;
    }

    // ------------------------------------------------------------------ response stream

    /**
     * The attempt whose response is streamed to the client, or null before a response has started.
     */
    InFlightAttempt streamingAttempt() {
        return streamingAttempt;
    }

    /** Whether the output of this attempt goes to the client. */
    boolean streamsFrom(InFlightAttempt attempt) {
        return streamingAttempt == attempt && !responseGuard.isFinished();
    }

    void startStreaming(InFlightAttempt attempt, double nowMs) {
        streamingAttempt = attempt;
        streamIdleSinceMs = nowMs;
    }

    void chunkReceived(double nowMs) {
        streamIdleSinceMs = nowMs;
    }

    double streamIdleSinceMs() {
        return streamIdleSinceMs;
    }

    boolean isPaused() {
        return paused;
    }

    /** Whether the stream has been paused without interruption since that time. */
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
        streamIdleSinceMs = nowMs;
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

    /** Identifies identical requests without an idempotency key; null for requests with a key. */
    String duplicateKey() {
        return duplicateKey;
    }

    void setDuplicateKey(String key) {
        duplicateKey = key;
    }

    boolean isUsageQueued() {
        return usageQueued;
    }

    /** Whether waste or attempts were added after the usage was queued for the ledger. */
    boolean hasUnqueuedUsage() {
        return unqueuedWastedTokens() > 0 || unqueuedAttempts() > 0;
    }

    long unqueuedWastedTokens() {
        return usageMeter.wastedTokens() - queuedWastedTokens;
    }

    int unqueuedAttempts() {
        return attempts.size() - queuedAttempts;
    }

    /** Sets whether the usage so far was queued for the ledger, and saves that usage. */
    void setUsageQueued(boolean queued) {
        usageQueued = queued;
        queuedWastedTokens = usageMeter.wastedTokens();
        queuedAttempts = attempts.size();
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
