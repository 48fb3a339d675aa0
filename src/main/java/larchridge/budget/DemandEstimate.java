package larchridge.budget;

/** An exponentially decaying average of the tokens requested from one budget per time slot. */
final class DemandEstimate {
    private static final double SLOT_MS = 100;

    /** The weight that the average keeps from one slot to the next. */
    private static final double DECAY_PER_SLOT = 0.7;

    private double slotStartMs;
    private double tokensInSlot;
    private double averageTokens;

    void record(double tokens, double nowMs) {
        if (nowMs - slotStartMs >= SLOT_MS || nowMs < slotStartMs) {
            double slots = nowMs < slotStartMs ? 1 : Math.floor((nowMs - slotStartMs) / SLOT_MS);
            averageTokens =
                    (DECAY_PER_SLOT * averageTokens + (1 - DECAY_PER_SLOT) * tokensInSlot)
                            * Math.pow(DECAY_PER_SLOT, slots - 1);
            tokensInSlot = 0;
            slotStartMs = nowMs;
        }
        tokensInSlot += tokens;
    }

    /** The tokens requested per slot of 100 ms, averaged over the completed slots. */
    double tokensPerSlot() {
        return averageTokens;
    }
}
