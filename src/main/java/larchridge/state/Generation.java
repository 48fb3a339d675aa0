package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/** A generation: one prompt that is owed one final answer. */
public final class Generation {
    public final String id;
    public final TrafficClass trafficClass;
    public final TenantQuota tenantQuota;
    public final CachedPrefix session;
    public final CachedPrefix prefix;
    public final int promptTokens;
    public final int sharedTokens;
    public final int maxTokens;

    /** The hinted length of the answer, or NaN. */
    public final double hintTokens;

    public final boolean clientRetry;
    public final double arrivedMs;
    public final double deadlineMs;

    public final List<Attempt> attempts = new ArrayList<>(3);
    public int attemptsInFlight;
    public boolean finished;
    public boolean responseStarted;

    /** The attempt whose read state waits to be fetched, or null. */
    public Attempt state;

    /** Whether the state was released beside the attempt that is to fetch it. */
    public boolean stateReleased;

    /** Whether a state may be held for it anywhere. */
    public boolean mayHoldState;

    public boolean waiting;

    /**
     * Attempts that this front could not send at all, and when the next one may be tried after the
     * last of them.
     */
    public int attemptsNotSent;

    public double nextAttemptMs = Double.NEGATIVE_INFINITY;

    /** The readers whose load was asked for it, and when. */
    public final List<Engine> probedReaders = new ArrayList<>(2);

    public double readersProbedMs = Double.NEGATIVE_INFINITY;

    /** The readers that hashes name for it, best first, by which list. */
    public final List<Engine> affinityReaders = new ArrayList<>(4);

    public int affinityRevision = -1;

    /** Why it was given up, or null. */
    public GiveUpReason giveUpReason;

    /** A draw between 0 and 1 that stays with it. */
    public double randomShare;

    /** The fewest tokens that any reader must read for it. */
    public double leastReadTokens;

    public Generation(
            String id,
            TrafficClass trafficClass,
            TenantQuota tenantQuota,
            CachedPrefix session,
            CachedPrefix prefix,
            int promptTokens,
            int sharedTokens,
            int maxTokens,
            double hintTokens,
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
        this.hintTokens = hintTokens;
        this.clientRetry = clientRetry;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
    }

    /** Attempts that count against the most that are allowed. */
    public int attemptsSent() {
        return attempts.size() - attemptsNotSent;
    }

    public double sloDeadlineMs() {
        return arrivedMs + trafficClass.sloMs + trafficClass.sloMsPerToken * promptTokens;
    }

    /** Whether an attempt at a writer is out and not called off. */
    public boolean isAtWriter() {
        return attempts.stream()
                .anyMatch(attempt -> attempt.inFlight && !attempt.read && !attempt.cancelled);
    }
}
