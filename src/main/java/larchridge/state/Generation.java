package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A generation: one client request for an answer to one prompt. The request itself is immutable;
 * the routing state is changed by the policy on the router's event loop, through one method per
 * transition. Every generation gets exactly one final answer.
 */
public final class Generation {
    /** Progress of the answer; only ever advances. */
    private enum Phase {
        /** The client has received nothing yet. */
        UNANSWERED,
        /** The first token has arrived. */
        STREAMING,
        /** The final answer has been given. */
        FINISHED
    }

    /** Id, unique on the router. */
    public final String id;

    /** Latency targets, revenue and retry rules. */
    public final TrafficClass trafficClass;

    /** The tenant's quota, or null. */
    public final TenantQuota tenantQuota;

    /** The session's prompts so far, or null. */
    public final CachedPrefix sessionPrefix;

    /** The prompt prefix shared with other sessions, or null. */
    public final CachedPrefix sharedPrefix;

    /** Number of prompt tokens. */
    public final int promptTokens;

    /** Number of tokens in the shared prefix. */
    public final int sharedTokens;

    /** Maximum number of answer tokens. */
    public final int maxTokens;

    /** Answer length hinted by the client, or NaN. */
    public final double expectedOutputTokens;

    /** Whether the client marked the request as a retry. */
    public final boolean clientRetry;

    /** Arrival time. */
    public final double arrivedMs;

    /** Time at which the client gives up. */
    public final double deadlineMs;

    private final List<Attempt> attempts = new ArrayList<>(3);
    private int attemptsInFlight;
    private int attemptsNotSent;
    private double nextAttemptMs = Double.NEGATIVE_INFINITY;

    private Phase phase = Phase.UNANSWERED;
    private boolean waiting;
    private double minTokensToRead;
    private GiveUpReason giveUpReason;
    private double randomFraction;

    private Attempt readWithHeldState;
    private boolean stateReleased;
    private boolean statePossiblyHeld;

    private final List<Engine> probedReaders = new ArrayList<>(2);
    private double readersProbedMs = Double.NEGATIVE_INFINITY;
    private final List<Engine> affinityReaders = new ArrayList<>(4);
    private int affinityRevision = -1;

    /** Creates a generation that has arrived and has no attempt yet. */
    public Generation(
            String id,
            TrafficClass trafficClass,
            TenantQuota tenantQuota,
            CachedPrefix sessionPrefix,
            CachedPrefix sharedPrefix,
            int promptTokens,
            int sharedTokens,
            int maxTokens,
            double expectedOutputTokens,
            boolean clientRetry,
            double arrivedMs,
            double deadlineMs) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.tenantQuota = tenantQuota;
        this.sessionPrefix = sessionPrefix;
        this.sharedPrefix = sharedPrefix;
        this.promptTokens = promptTokens;
        this.sharedTokens = sharedTokens;
        this.maxTokens = maxTokens;
        this.expectedOutputTokens = expectedOutputTokens;
        this.clientRetry = clientRetry;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
    }

    /** Time by which the first token has to arrive to earn full revenue. */
    public double sloDeadlineMs() {
        return arrivedMs + trafficClass.sloMs + trafficClass.sloMsPerToken * promptTokens;
    }

    // ------------------------------------------------------------------ phase

    /** Records the first token of the answer. */
    public void startResponse() {
        if (phase == Phase.UNANSWERED) {
            phase = Phase.STREAMING;
        }
    }

    /** Records that the final answer has been given. */
    public void finish() {
        phase = Phase.FINISHED;
    }

    /** Whether the client has received neither a token nor a final answer. */
    public boolean isUnanswered() {
        return phase == Phase.UNANSWERED;
    }

    /** Whether the final answer has been given. */
    public boolean isFinished() {
        return phase == Phase.FINISHED;
    }

    /** Why the policy gave up, or null. */
    public GiveUpReason giveUpReason() {
        return giveUpReason;
    }

    /** Records why the policy gives up. */
    public void recordGiveUp(GiveUpReason reason) {
        giveUpReason = reason;
    }

    // ------------------------------------------------------------------ waiting

    /** Starts waiting for a reader; the reader with the most cached would read this many tokens. */
    public void startWaiting(double tokensToRead) {
        waiting = true;
        minTokensToRead = tokensToRead;
    }

    /** Stops waiting. */
    public void stopWaiting() {
        waiting = false;
    }

    /** Whether the generation waits for a reader. */
    public boolean isWaiting() {
        return waiting;
    }

    /** Fewest tokens that any reader would have to read, as of when the wait started. */
    public double minTokensToRead() {
        return minTokensToRead;
    }

    /** Sets the generation's random fraction between 0 and 1. */
    public void setRandomFraction(double share) {
        randomFraction = share;
    }

    /** A random fraction between 0 and 1, drawn once per generation. */
    public double randomFraction() {
        return randomFraction;
    }

    // ------------------------------------------------------------------ attempts

    /** All attempts in send order; the caller must not modify the list. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** The attempt that was sent last. */
    public Attempt newestAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Number of attempts that have not ended. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Number of attempts that count against the limit. */
    public int attemptsSent() {
        return attempts.size() - attemptsNotSent;
    }

    /** Number of attempts that this router could not send. */
    public int attemptsNotSent() {
        return attemptsNotSent;
    }

    /** Counts an attempt that could not be sent and delays the next one until the given time. */
    public void backOff(double untilMs) {
        attemptsNotSent++;
        nextAttemptMs = untilMs;
    }

    /** Earliest time of the next attempt. */
    public double nextAttemptMs() {
        return nextAttemptMs;
    }

    /** Whether an attempt at a writer is in flight and not cancelled. */
    public boolean isAtWriter() {
        return attempts.stream().anyMatch(attempt -> !attempt.readsOnly && attempt.isActive());
    }

    void opened(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void closed() {
        attemptsInFlight--;
    }

    // ------------------------------------------------------------------ read state

    /** The attempt whose read state waits to be fetched, or null. */
    public Attempt readWithHeldState() {
        return readWithHeldState;
    }

    /** Records that the state of a completed read waits to be fetched. */
    public void holdState(Attempt read) {
        readWithHeldState = read;
    }

    /** Records that no state waits to be fetched any more. */
    public void dropState() {
        readWithHeldState = null;
    }

    /** Records that the state was released while the attempt that is to fetch it is in flight. */
    public void recordStateReleased() {
        readWithHeldState = null;
        stateReleased = true;
    }

    /** Clears {@link #isStateReleased} once another attempt replaces the affected one. */
    public void clearStateReleased() {
        stateReleased = false;
    }

    /** Whether the state was released while the attempt that is to fetch it is in flight. */
    public boolean isStateReleased() {
        return stateReleased;
    }

    /** Whether an engine possibly holds a state for this generation. */
    public boolean isStatePossiblyHeld() {
        return statePossiblyHeld;
    }

    /** Sets whether an engine possibly holds a state for this generation. */
    public void setStatePossiblyHeld(boolean possiblyHeld) {
        statePossiblyHeld = possiblyHeld;
    }

    // ------------------------------------------------------------------ preferred readers

    /** Readers probed for this generation; a mutable list maintained by the policy. */
    public List<Engine> probedReaders() {
        return probedReaders;
    }

    /** Time of the last probe of the readers. */
    public double readersProbedMs() {
        return readersProbedMs;
    }

    /** Records that the readers are being probed. */
    public void recordReadersProbed(double nowMs) {
        readersProbedMs = nowMs;
    }

    /** Readers chosen by affinity hashing, best first; a mutable list maintained by the policy. */
    public List<Engine> affinityReaders() {
        return affinityReaders;
    }

    /** Endpoint list revision for which the affinity readers were computed. */
    public int affinityRevision() {
        return affinityRevision;
    }

    /** Sets the endpoint list revision for which the affinity readers were computed. */
    public void setAffinityRevision(int revision) {
        affinityRevision = revision;
    }
}
