package larchridge.state;

import java.util.ArrayList;
import java.util.List;

/** A generation: one prompt that is owed one final answer. */
public final class Generation {
    public final String label;
    public final TrafficClass product;
    public final TenantQuota account;
    public final CachedPrefix session;
    public final CachedPrefix prefix;
    public final int promptToks;
    public final int sharedToks;
    public final int maxToks;

    /** The hinted length of the answer, or NaN. */
    public final double hintToks;

    public final boolean resent;
    public final double arrivedMs;
    public final double limitMs;

    public final List<Attempt> attempts = new ArrayList<>(3);
    public int attemptsOut;
    public boolean over;
    public boolean begun;

    /** The attempt whose read state waits to be fetched, or null. */
    public Attempt state;

    /** Whether the state was released beside the attempt that is to fetch it. */
    public boolean stateReleased;

    /** Whether a state may be held for it anywhere. */
    public boolean held;

    public boolean waiting;

    /**
     * Attempts that this front could not send at all, and when the next one may be tried after the
     * last of them.
     */
    public int attemptsNotSent;

    public double nextAttemptMs = Double.NEGATIVE_INFINITY;

    /** The readers whose load was asked for it, and when. */
    public final List<Engine> asked = new ArrayList<>(2);

    public double askedMs = Double.NEGATIVE_INFINITY;

    /** The readers that hashes name for it, best first, by which list. */
    public final List<Engine> homes = new ArrayList<>(4);

    public int homesOfList = -1;

    /** Why it was given up, or null. */
    public GiveUpReason givenUp;

    /** A draw between 0 and 1 that stays with it. */
    public double chance;

    /** The fewest tokens that any reader must read for it. */
    public double leastReadToks;

    public Generation(
            String label,
            TrafficClass product,
            TenantQuota account,
            CachedPrefix session,
            CachedPrefix prefix,
            int promptToks,
            int sharedToks,
            int maxToks,
            double hintToks,
            boolean resent,
            double arrivedMs,
            double limitMs) {
        this.label = label;
        this.product = product;
        this.account = account;
        this.session = session;
        this.prefix = prefix;
        this.promptToks = promptToks;
        this.sharedToks = sharedToks;
        this.maxToks = maxToks;
        this.hintToks = hintToks;
        this.resent = resent;
        this.arrivedMs = arrivedMs;
        this.limitMs = limitMs;
    }

    /** Attempts that count against the most that are allowed. */
    public int attemptsSent() {
        return attempts.size() - attemptsNotSent;
    }

    public double sloAtMs() {
        return arrivedMs + product.sloMs + product.sloMsPerTok * promptToks;
    }

    /** Whether an attempt at a writer is out and not called off. */
    public boolean isAtWriter() {
        return attempts.stream()
                .anyMatch(attempt -> attempt.out && !attempt.read && !attempt.cancelled);
    }
}
