package larchridge.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Results of a plan as one page: charts by rate with intervals, and each policy beside the first,
 * seed by seed.
 */
public final class ReportPage {
    private static final double CONFIDENCE = 0.95;

    private ReportPage() {}

    /** A mean with the half of its interval; 0 where there is one value only. */
    public record Mean(double value, double half) {
        static Mean of(List<Double> values) {
            SummaryStatistics sums = new SummaryStatistics();
            values.forEach(sums::addValue);
            double half =
                    values.size() < 2
                            ? 0
                            : new TDistribution(values.size() - 1.0)
                                            .inverseCumulativeProbability(0.5 + CONFIDENCE / 2)
                                    * sums.getStandardDeviation()
                                    / Math.sqrt(values.size());
            return new Mean(sums.getMean(), half);
        }

        /** Whether it differs from 0 by more than chance would have it. */
        boolean isMoreThanNoise() {
            return half > 0 && Math.abs(value) > half;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.3f ± %.3f", value, half);
        }
    }

    /**
     * Differences of a policy from the first of the plan, seed by seed, where all else is the same.
     */
    static Mean difference(
            List<ExperimentRunner.Row> rows, String first, String policy, double rate) {
        Map<String, Double> base = new TreeMap<>();
        rows.stream()
                .filter(r -> r.point().policy().equals(first))
                .forEach(r -> base.put(rest(r.point()), r.service()));
        return Mean.of(
                rows.stream()
                        .filter(r -> r.point().policy().equals(policy) && r.point().rate() == rate)
                        .map(r -> r.service() - base.get(rest(r.point())))
                        .toList());
    }

    private static String rest(ExperimentPlan.Point point) {
        return point.key().substring(point.policy().length());
    }

    public static void write(ExperimentPlan plan, List<ExperimentRunner.Row> rows, Path folder)
            throws IOException {
        chart(plan, rows, "service", ExperimentRunner.Row::service, folder.resolve("service"));
        chart(plan, rows, "first token p99, ms", ExperimentRunner.Row::p99, folder.resolve("p99"));
        StringBuilder html =
                new StringBuilder(
                        "<!doctype html><meta charset=\"utf-8\"><title>Experiment</title>"
                                + "<style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:right}</style>"
                                + "<p>Engines are emulated, in virtual time; intervals are 95% over seeds.</p>"
                                + "<img src=\"service.svg\"><img src=\"p99.svg\"><table><tr><th>policy<th>rate<th>service<th>beside "
                                + plan.policies.get(0)
                                + "<th><th>p99 ms<th>broken rules</tr>\n");
        for (String line : lines(plan, rows)) {
            html.append("<tr><td>").append(line.replace(" | ", "<td>")).append("</tr>\n");
        }
        Files.writeString(folder.resolve("index.html"), html.append("</table>\n"));
    }

    /** The table in words, a policy and rate a line. */
    public static List<String> lines(ExperimentPlan plan, List<ExperimentRunner.Row> rows) {
        List<String> lines = new ArrayList<>();
        for (String policy : plan.policies) {
            for (double rate : plan.rates) {
                List<ExperimentRunner.Row> some =
                        rows.stream()
                                .filter(
                                        r ->
                                                r.point().policy().equals(policy)
                                                        && r.point().rate() == rate)
                                .toList();
                Mean beside = difference(rows, plan.policies.get(0), policy, rate);
                lines.add(
                        policy
                                + " | "
                                + rate
                                + " | "
                                + Mean.of(some.stream().map(ExperimentRunner.Row::service).toList())
                                + " | "
                                + beside
                                + " | "
                                + (beside.isMoreThanNoise() ? "more than noise" : "")
                                + " | "
                                + Mean.of(some.stream().map(ExperimentRunner.Row::p99).toList())
                                + " | "
                                + some.stream().mapToInt(ExperimentRunner.Row::breaches).sum());
            }
        }
        return lines;
    }

    private static void chart(
            ExperimentPlan plan,
            List<ExperimentRunner.Row> rows,
            String what,
            ToDoubleFunction<ExperimentRunner.Row> of,
            Path file)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(640)
                        .height(420)
                        .title(what + " by load")
                        .xAxisTitle("times the script's load")
                        .yAxisTitle(what)
                        .build();
        for (String policy : plan.policies) {
            List<Double> means = new ArrayList<>();
            List<Double> halves = new ArrayList<>();
            for (double rate : plan.rates) {
                Mean mean =
                        Mean.of(
                                rows.stream()
                                        .filter(
                                                r ->
                                                        r.point().policy().equals(policy)
                                                                && r.point().rate() == rate)
                                        .map(of::applyAsDouble)
                                        .toList());
                means.add(mean.value);
                halves.add(mean.half);
            }
            chart.addSeries(policy, plan.rates, means, halves);
        }
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
