package larchridge.tokens;

/**
 * What engines report of prompts beside what was counted here, for one model: a factor that
 * corrects counts, within bounds, and whether the vocabulary can be the engines'. Without I/O,
 * clock or threads; each front has its own.
 */
public final class TokenCountCorrection {
    private static final double MIN_RATIO = 0.5;
    private static final double MAX_RATIO = 2;
    private static final double PREVIOUS_WEIGHT = 0.95;
    private static final int MIN_REPORTS = 20;

    /** Under this nothing is corrected: a few tokens of a frame that engines add. */
    private static final double MAX_IGNORED_DEVIATION = 0.02;

    private static final double MAX_PLAUSIBLE_RATIO = 1.25;
    private static final double MAX_MEAN_DEVIATION = 0.1;

    /** What is to be told of a model, each once. */
    public enum Finding {
        NONE,
        COUNT_DRIFT,
        WRONG_VOCABULARY
    }

    private double meanRatio = 1;
    private double meanDeviation;
    private int reports;
    private Finding highestFinding = Finding.NONE;

    /** An engine reports a prompt that was counted exactly; returns what is new to tell. */
    public Finding recordReport(int counted, int reported) {
        if (counted < 16 || reported <= 0) {
            return Finding.NONE;
        }
        double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, (double) reported / counted));
        reports++;
        double previousWeight = reports < MIN_REPORTS ? 1 - 1.0 / reports : PREVIOUS_WEIGHT;
        meanRatio = previousWeight * meanRatio + (1 - previousWeight) * ratio;
        meanDeviation = previousWeight * meanDeviation + (1 - previousWeight) * Math.abs(ratio - meanRatio);
        if (reports < MIN_REPORTS) {
            return Finding.NONE;
        }
        Finding finding =
                meanRatio > MAX_PLAUSIBLE_RATIO || meanRatio < 1 / MAX_PLAUSIBLE_RATIO || meanDeviation > MAX_MEAN_DEVIATION
                        ? Finding.WRONG_VOCABULARY
                        : Math.abs(meanRatio - 1) > MAX_IGNORED_DEVIATION ? Finding.COUNT_DRIFT : Finding.NONE;
        boolean isNew = finding.compareTo(highestFinding) > 0;
        highestFinding = finding.compareTo(highestFinding) > 0 ? finding : highestFinding;
        return isNew ? finding : Finding.NONE;
    }

    /** By what counts are multiplied for the engines' own figures. */
    public double factor() {
        return reports < MIN_REPORTS || Math.abs(meanRatio - 1) <= MAX_IGNORED_DEVIATION ? 1 : meanRatio;
    }
}
