package larchridge.tokens;

/**
 * Compares the prompt lengths that the engines of one model report with the counts made here. Gives
 * a factor within bounds that corrects the counts, and finds out whether the vocabulary can be that
 * of the engines. Uses no I/O, clock or threads; each router has an instance of its own.
 */
public final class TokenCountCorrection {
    private static final double MIN_RATIO = 0.5;
    private static final double MAX_RATIO = 2;
    private static final double PREVIOUS_WEIGHT = 0.95;
    private static final int MIN_REPORTS = 20;

    /** Smaller deviations are not corrected; the engines' chat template adds a few tokens. */
    private static final double MAX_IGNORED_DEVIATION = 0.02;

    private static final double MAX_PLAUSIBLE_RATIO = 1.25;

    /** With a larger {@link #ratioSpread}, the vocabulary is taken not to be the engines'. */
    private static final double MAX_RATIO_SPREAD = 0.1;

    /**
     * What a report reveals, ordered by severity. Each but NONE is returned at most once for a
     * model.
     */
    public enum Finding {
        /** Nothing new. */
        NONE,
        /** The engines' counts differ by a steady factor; counts are corrected. */
        COUNTS_DIFFER,
        /** The ratio is too far off or varies too much for the vocabulary to be the engines'. */
        WRONG_VOCABULARY
    }

    /** Moving average of the ratio of reported to counted tokens. */
    private double meanRatio = 1;

    /** Moving average of the absolute deviation of single ratios from the mean ratio. */
    private double ratioSpread;

    private int reports;
    private Finding highestFinding = Finding.NONE;

    /**
     * Records the length that an engine reports for a prompt that was counted exactly.
     *
     * @return a finding more severe than those returned before, or {@link Finding#NONE}
     */
    public Finding recordReport(int counted, int reported) {
        if (counted < 16 || reported <= 0) {
            return Finding.NONE;
        }
        double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, (double) reported / counted));
        reports++;
        double previousWeight = reports < MIN_REPORTS ? 1 - 1.0 / reports : PREVIOUS_WEIGHT;
        meanRatio = previousWeight * meanRatio + (1 - previousWeight) * ratio;
        ratioSpread =
                previousWeight * ratioSpread + (1 - previousWeight) * Math.abs(ratio - meanRatio);
        if (reports < MIN_REPORTS) {
            return Finding.NONE;
        }
        Finding finding =
                meanRatio > MAX_PLAUSIBLE_RATIO
                                || meanRatio < 1 / MAX_PLAUSIBLE_RATIO
                                || ratioSpread > MAX_RATIO_SPREAD
                        ? Finding.WRONG_VOCABULARY
                        : Math.abs(meanRatio - 1) > MAX_IGNORED_DEVIATION
                                ? Finding.COUNTS_DIFFER
                                : Finding.NONE;
        boolean isNew = finding.compareTo(highestFinding) > 0;
        highestFinding = finding.compareTo(highestFinding) > 0 ? finding : highestFinding;
        return isNew ? finding : Finding.NONE;
    }

    /** The factor that converts counts made here into the engines' counts. */
    public double factor() {
        return reports < MIN_REPORTS || Math.abs(meanRatio - 1) <= MAX_IGNORED_DEVIATION
                ? 1
                : meanRatio;
    }
}
