package larchridge.budget;

import java.util.Random;

/**
 * Tokens that gather at a rate up to a burst. What is charged is an estimate; settling gives back
 * or takes more, so that the level may fall under 0 and is then paid off first. Time is passed in
 * and may step back; nothing gathers then.
 *
 * <p>What is over the burst comes in on a full bucket and leaves a debt, so that the rate holds.
 * Where a front's part of a burst is less than one generation needs, that debt, taken at all
 * fronts, would be many bursts: there the front lets it in by a chance draw with the mean of what
 * has gathered, and the draw uses that up, won or lost. So the mean over all fronts is the budget
 * for any number of fronts, and no asking again improves the odds.
 */
final class TokenBucket {
    private final Random random;
    private final boolean alone;
    private double perMs;
    private double burst;
    private double level;
    private double atMs = Double.NaN;

    /** Alone: no other front holds a part, so that what is over the burst may come in as a debt. */
    TokenBucket(double perMs, double burst, boolean alone, Random random) {
        this.alone = alone;
        this.perMs = perMs;
        this.burst = burst;
        this.random = random;
        level = burst;
    }

    /** A new rate and burst from now on; what has gathered stays, up to the new burst. */
    void change(double newPerMs, double newBurst, double nowMs) {
        gather(nowMs);
        perMs = newPerMs;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    double level(double nowMs) {
        gather(nowMs);
        return level;
    }

    double burst() {
        return burst;
    }

    boolean take(double tokens, double nowMs) {
        return take(tokens, false, nowMs);
    }

    /**
     * Whether so much may be taken now; takes it then. Certain: no chance is taken, since it can be
     * lent.
     */
    boolean take(double tokens, boolean certain, double nowMs) {
        gather(nowMs);
        if (level >= tokens) {
            level -= tokens;
            return true;
        }
        // Guards against: a prompt over the burst, or over a front's part of it, could never come
        // in.
        if (alone && level >= burst) {
            level -= tokens;
            return true;
        }
        if (alone || certain || tokens <= burst || level <= 0) {
            return false;
        }
        boolean won = random.nextDouble() * tokens < level;
        // What was won beyond the level was paid for by the draws that were lost.
        level = 0;
        return won;
    }

    /** Gives back, or with a negative number takes more. */
    void giveBack(double tokens, double nowMs) {
        gather(nowMs);
        level = Math.min(burst, level + tokens);
    }

    /** Takes whatever the level is. */
    void owe(double tokens, double nowMs) {
        gather(nowMs);
        level -= tokens;
    }

    /**
     * How long until so much has gathered, milliseconds; for more than the burst, until the bucket
     * is full.
     */
    double untilMs(double tokens, double nowMs) {
        gather(nowMs);
        double lacks = Math.min(tokens, burst) - level;
        return lacks <= 0 ? 0 : perMs > 0 ? lacks / perMs : Double.POSITIVE_INFINITY;
    }

    private void gather(double nowMs) {
        if (Double.isNaN(atMs) || nowMs < atMs) {
            // Guards against: a clock that steps back and forth would gather the same time twice.
            atMs = Double.isNaN(atMs) ? nowMs : atMs;
            return;
        }
        level = Math.min(burst, level + (nowMs - atMs) * perMs);
        atMs = nowMs;
    }
}
