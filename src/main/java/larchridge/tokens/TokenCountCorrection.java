package larchridge.tokens;

/**
 * What engines report of prompts beside what was counted here, for one model: a factor that
 * corrects counts, within bounds, and whether the vocabulary can be the engines'. Without I/O,
 * clock or threads; each front has its own.
 */
public final class TokenCountCorrection {
    private static final double LEAST = 0.5;
    private static final double MOST = 2;
    private static final double KEPT = 0.95;
    private static final int ENOUGH = 20;

    /** Under this nothing is corrected: a few tokens of a frame that engines add. */
    private static final double SMALL = 0.02;

    private static final double WRONG = 1.25;
    private static final double SCATTER = 0.1;

    /** What is to be told of a model, each once. */
    public enum Finding {
        NONE,
        DRIFTS,
        WRONG_VOCABULARY
    }

    private double mean = 1;
    private double scatter;
    private int seen;
    private Finding told = Finding.NONE;

    /** An engine reports a prompt that was counted exactly; returns what is new to tell. */
    public Finding reported(int counted, int reported) {
        if (counted < 16 || reported <= 0) {
            return Finding.NONE;
        }
        double ratio = Math.max(LEAST, Math.min(MOST, (double) reported / counted));
        seen++;
        double kept = seen < ENOUGH ? 1 - 1.0 / seen : KEPT;
        mean = kept * mean + (1 - kept) * ratio;
        scatter = kept * scatter + (1 - kept) * Math.abs(ratio - mean);
        if (seen < ENOUGH) {
            return Finding.NONE;
        }
        Finding found =
                mean > WRONG || mean < 1 / WRONG || scatter > SCATTER
                        ? Finding.WRONG_VOCABULARY
                        : Math.abs(mean - 1) > SMALL ? Finding.DRIFTS : Finding.NONE;
        boolean isNew = found.compareTo(told) > 0;
        told = found.compareTo(told) > 0 ? found : told;
        return isNew ? found : Finding.NONE;
    }

    /** By what counts are multiplied for the engines' own figures. */
    public double factor() {
        return seen < ENOUGH || Math.abs(mean - 1) <= SMALL ? 1 : mean;
    }
}
