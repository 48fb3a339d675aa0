package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/**
 * A generation: one prompt that is owed one final answer. What was asked never changes; the rest is
 * the policy's record of its way, changed by one method for each transition on the router's event
 * loop.
 */
public final class Generation {
    /** Where its answer stands; only ever the next. */
    private enum Phase {
        /** Its client has got nothing yet. */
        UNANSWERED,
        /** The first token has come. */
        STREAMING,
        /** It has its final answer. */
        FINISHED
    }

    /** Its id, unique among the router's. */
    public final String id;

    /** What is promised for it. */
    public final TrafficClass trafficClass;

    /** Its tenant's share, or null. */
    public final TenantQuota tenantQuota;

    /** The session's prompts so far, or null. */
    public final CachedPrefix session;

    /** The beginning that it shares with other sessions, or null. */
    public final CachedPrefix prefix;

    /** Tokens of its prompt. */
    public final int promptTokens;

    /** Tokens of the shared beginning. */
    public final int sharedTokens;

    /** The most tokens that its answer may have. */
    public final int maxTokens;

    /** The hinted length of the answer, or NaN. */
    public final double expectedOutputTokens;

    /** Whether the client marks it as a retry. */
    public final boolean clientRetry;

    /** When it arrived. */
    public final double arrivedMs;

    /** When its client gives up. */
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

    private Attempt heldRead;
    private boolean stateReleased;
    private boolean mayHoldState;

    private final List<Engine> probedReaders = new ArrayList<>(2);
    private double readersProbedMs = Double.NEGATIVE_INFINITY;
    private final List<Engine> affinityReaders = new ArrayList<>(4);
    private int affinityRevision = -1;

    /** A generation that has arrived and has no attempt yet. */
    public Generation(
            String id,
            TrafficClass trafficClass,
            TenantQuota tenantQuota,
            CachedPrefix session,
            CachedPrefix prefix,
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
        this.session = session;
        this.prefix = prefix;
        this.promptTokens = promptTokens;
        this.sharedTokens = sharedTokens;
        this.maxTokens = maxTokens;
        this.expectedOutputTokens = expectedOutputTokens;
        this.clientRetry = clientRetry;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
    }

    /** Until when its first token has to come to earn full revenue. */
    public double sloDeadlineMs() {
        return arrivedMs + trafficClass.sloMs + trafficClass.sloMsPerToken * promptTokens;
    }

    // ------------------------------------------------------------------ phase

    /** The first token of its answer has come. */
    public void startResponse() {
        if (phase == Phase.UNANSWERED) {
            phase = Phase.STREAMING;
        }
    }

    /** It has its final answer. */
    public void finish() {
        phase = Phase.FINISHED;
    }

    /** Whether its client has got nothing yet, neither a token nor a final answer. */
    public boolean isUnanswered() {
        return phase == Phase.UNANSWERED;
    }

    /** Whether it has its final answer. */
    public boolean isFinished() {
        return phase == Phase.FINISHED;
    }

    /** Why the policy gave it up, or null. */
    public GiveUpReason giveUpReason() {
        return giveUpReason;
    }

    /** Notes why the policy gives it up. */
    public void recordGiveUp(GiveUpReason reason) {
        giveUpReason = reason;
    }

    // ------------------------------------------------------------------ waiting

    /** It waits for a reader; the one with the most of it cached would read so many tokens. */
    public void startWaiting(double tokensToRead) {
        waiting = true;
        minTokensToRead = tokensToRead;
    }

    /** It no longer waits. */
    public void stopWaiting() {
        waiting = false;
    }

    /** Whether it waits for a reader. */
    public boolean isWaiting() {
        return waiting;
    }

    /** The fewest tokens that any reader would have to read for it, since it waits. */
    public double minTokensToRead() {
        return minTokensToRead;
    }

    /** Draws its own share between 0 and 1, which stays with it. */
    public void setRandomFraction(double share) {
        randomFraction = share;
    }

    /** A draw between 0 and 1 that stays with it. */
    public double randomFraction() {
        return randomFraction;
    }

    // ------------------------------------------------------------------ attempts

    /** All its attempts, in the order sent; not to be changed. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** The attempt that was sent last. */
    public Attempt newestAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** How many attempts have not ended. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Attempts that count against the most that are allowed. */
    public int attemptsSent() {
        return attempts.size() - attemptsNotSent;
    }

    /** Attempts that this router could not send at all. */
    public int attemptsNotSent() {
        return attemptsNotSent;
    }

    /** Counts an attempt that could not be sent; the next one is not due before a time. */
    public void backOff(double untilMs) {
        attemptsNotSent++;
        nextAttemptMs = untilMs;
    }

    /** When the next attempt is due at the earliest. */
    public double nextAttemptMs() {
        return nextAttemptMs;
    }

    /** Whether an attempt at a writer is in flight and not cancelled. */
    public boolean isAtWriter() {
        return attempts.stream().anyMatch(attempt -> !attempt.readOnly && attempt.isActive());
    }

    void opened(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void closed() {
        attemptsInFlight--;
    }

    // ------------------------------------------------------------------ the read state

    /** The attempt whose read state waits to be fetched, or null. */
    public Attempt heldRead() {
        return heldRead;
    }

    /** The state of a completed read waits to be fetched. */
    public void holdState(Attempt read) {
        heldRead = read;
    }

    /** No state waits to be fetched any more. */
    public void dropState() {
        heldRead = null;
    }

    /** The state was released beside the attempt that is to fetch it. */
    public void recordStateReleased() {
        heldRead = null;
        stateReleased = true;
    }

    /** A new attempt makes up for a state that was released beside an earlier one. */
    public void clearStateReleased() {
        stateReleased = false;
    }

    /** Whether the state was released beside the attempt that is to fetch it. */
    public boolean isStateReleased() {
        return stateReleased;
    }

    /** Whether an engine may hold a state for it. */
    public boolean mayHoldState() {
        return mayHoldState;
    }

    /** Sets whether an engine may hold a state for it. */
    public void setMayHoldState(boolean may) {
        mayHoldState = may;
    }

    // ------------------------------------------------------------------ readers that come first

    /** The readers whose load was requested for it; the policy's own list. */
    public List<Engine> probedReaders() {
        return probedReaders;
    }

    /** When the load of its readers was requested. */
    public double readersProbedMs() {
        return readersProbedMs;
    }

    /** The load of its readers is requested. */
    public void recordReadersProbed(double nowMs) {
        readersProbedMs = nowMs;
    }

    /** The readers that hashes name for it, best first; the policy's own list. */
    public List<Engine> affinityReaders() {
        return affinityReaders;
    }

    /** The revision of the endpoint list that the affinity readers are of. */
    public int affinityRevision() {
        return affinityRevision;
    }

    /** The affinity readers are of this revision of the endpoint list. */
    public void setAffinityRevision(int revision) {
        affinityRevision = revision;
    }
}
