package larchridge.budget;

import java.util.Random;

/**
 * A token bucket: tokens accumulate at a rate up to a burst. The tokens taken are an estimate;
 * settlement returns some or takes more, so that the level may fall below 0, a debt that is paid
 * off first. Time is passed in and may step back; no tokens accumulate meanwhile.
 *
 * <p>A request over the burst is admitted by a full bucket and leaves a debt, so that the rate
 * holds. Where a router's part of a burst is smaller than a generation, such debts at all routers
 * would add up to many bursts. There the request is admitted by a random draw, with the probability
 * level / tokens, and the bucket is emptied whether it is admitted or not. So the tokens admitted
 * by all routers add up to the budget on average, for any number of routers, and repeating a
 * request does not improve its chance.
 */
final class TokenBucket {
    /** How a request over the burst is admitted. */
    enum OversizeRule {
        /** By a full bucket, with a debt; for a bucket that is not divided among routers. */
        DEBT,
        /** By a random draw; for a bucket that holds one part of many. */
        DRAW
    }

    private final Random random;
    private final OversizeRule oversizeRule;
    private double tokensPerMs;
    private double burstTokens;
    private double level;

    /** The time up to which tokens have accumulated; NaN before the first use. */
    private double refilledUntilMs = Double.NaN;

    TokenBucket(double tokensPerMs, double burstTokens, OversizeRule oversizeRule, Random random) {
        this.oversizeRule = oversizeRule;
        this.tokensPerMs = tokensPerMs;
        this.burstTokens = burstTokens;
        this.random = random;
        level = burstTokens;
    }

    /** Sets rate and burst from now on; what has accumulated stays, up to the new burst. */
    void reconfigure(double newTokensPerMs, double newBurstTokens, double nowMs) {
        refill(nowMs);
        tokensPerMs = newTokensPerMs;
        burstTokens = newBurstTokens;
        level = Math.min(level, burstTokens);
    }

    double level(double nowMs) {
        refill(nowMs);
        return level;
    }

    double burstTokens() {
        return burstTokens;
    }

    /** Takes tokens if they are available now or the rule for oversized requests admits them. */
    boolean tryTake(double tokens, double nowMs) {
        if (tryTakeWithoutDraw(tokens, nowMs)) {
            return true;
        }
        if (oversizeRule == OversizeRule.DEBT || tokens <= burstTokens || level <= 0) {
            return false;
        }
        boolean admitted = random.nextDouble() * tokens < level;
        // Also emptied on rejection, which makes up for the tokens that admitted requests use
        // beyond the level.
        level = 0;
        return admitted;
    }

    /** As {@link #tryTake} but without draws, for when the missing tokens can be leased. */
    boolean tryTakeWithoutDraw(double tokens, double nowMs) {
        refill(nowMs);
        // Guards against: a request over the burst could never be admitted.
        boolean admitsOnDebt = oversizeRule == OversizeRule.DEBT && level >= burstTokens;
        boolean admitted = level >= tokens || admitsOnDebt;
        if (!admitted) {
            return false;
        }
        level -= tokens;
        return true;
    }

    /** Returns tokens; takes more if the number is negative. */
    void refund(double tokens, double nowMs) {
        refill(nowMs);
        level = Math.min(burstTokens, level + tokens);
    }

    /** Takes tokens regardless of the level. */
    void takeUnconditionally(double tokens, double nowMs) {
        refill(nowMs);
        level -= tokens;
    }

    /**
     * Milliseconds until the bucket holds this many tokens; for more than the burst, until it is
     * full.
     */
    double msUntil(double tokens, double nowMs) {
        refill(nowMs);
        double missing = Math.min(tokens, burstTokens) - level;
        if (missing <= 0) {
            return 0;
        }
        return tokensPerMs > 0 ? missing / tokensPerMs : Double.POSITIVE_INFINITY;
    }

    private void refill(double nowMs) {
        if (Double.isNaN(refilledUntilMs)) {
            refilledUntilMs = nowMs;
            return;
        }
        if (nowMs < refilledUntilMs) {
            // Guards against: if the clock steps back and forth, the same time would be counted
            // twice.
            return;
        }
        level = Math.min(burstTokens, level + (nowMs - refilledUntilMs) * tokensPerMs);
        refilledUntilMs = nowMs;
    }
}
