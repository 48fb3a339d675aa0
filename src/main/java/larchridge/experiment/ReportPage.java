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
 * Writes the results of a plan as one page: charts by request rate with confidence intervals, and
 * the difference of each policy from the plan's first one, paired by seed.
 */
public final class ReportPage {
    private static final double CONFIDENCE = 0.95;

    private ReportPage() {}

    /** A mean with the half-width of its confidence interval, which is 0 for a single value. */
    public record ConfidenceInterval(double mean, double halfWidth) {
        static ConfidenceInterval of(List<Double> values) {
            SummaryStatistics statistics = new SummaryStatistics();
            values.forEach(statistics::addValue);
            double halfWidth =
                    values.size() < 2
                            ? 0
                            : new TDistribution(values.size() - 1.0)
                                            .inverseCumulativeProbability(0.5 + CONFIDENCE / 2)
                                    * statistics.getStandardDeviation()
                                    / Math.sqrt(values.size());
            return new ConfidenceInterval(statistics.getMean(), halfWidth);
        }

        /** Whether the mean differs significantly from 0. */
        boolean isSignificant() {
            return halfWidth > 0 && Math.abs(mean) > halfWidth;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.3f ± %.3f", mean, halfWidth);
        }
    }

    /**
     * The mean difference in service between a policy and a reference policy at one rate, over
     * pairs of runs that have all other parameters in common.
     */
    static ConfidenceInterval difference(
            List<ExperimentRunner.Row> rows, String referencePolicy, String policy, double rate) {
        Map<String, Double> referenceService = new TreeMap<>();
        rows.stream()
                .filter(r -> r.run().policy().equals(referencePolicy))
                .forEach(r -> referenceService.put(keyWithoutPolicy(r.run()), r.service()));
        return ConfidenceInterval.of(
                rows.stream()
                        .filter(
                                r ->
                                        r.run().policy().equals(policy)
                                                && r.run().rateFactor() == rate)
                        .map(r -> r.service() - referenceService.get(keyWithoutPolicy(r.run())))
                        .toList());
    }

    private static String keyWithoutPolicy(ExperimentPlan.RunParameters run) {
        return run.key().substring(run.policy().length());
    }

    /** Writes the charts and the page into a folder. */
    public static void write(ExperimentPlan plan, List<ExperimentRunner.Row> rows, Path folder)
            throws IOException {
        chart(plan, rows, "service", ExperimentRunner.Row::service, folder.resolve("service"));
        chart(
                plan,
                rows,
                "first token p99, ms",
                ExperimentRunner.Row::firstTokenP99Ms,
                folder.resolve("p99"));
        StringBuilder html =
                new StringBuilder(
                        "<!doctype html><meta charset=\"utf-8\"><title>Experiment</title>"
                                + "<style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:right}</style>"
                                + "<p>Engines are emulated in virtual time; intervals are 95% confidence "
                                + "intervals over seeds.</p>"
                                + "<img src=\"service.svg\"><img src=\"p99.svg\"><table><tr><th>policy"
                                + "<th>rate<th>service<th>difference from "
                                + plan.policies.get(0)
                                + "<th><th>p99 ms<th>broken rules</tr>\n");
        for (String line : lines(plan, rows)) {
            html.append("<tr><td>").append(line.replace(" | ", "<td>")).append("</tr>\n");
        }
        Files.writeString(folder.resolve("index.html"), html.append("</table>\n"));
    }

    /** The rows of the page's table as text, one for each policy and rate. */
    public static List<String> lines(ExperimentPlan plan, List<ExperimentRunner.Row> rows) {
        List<String> lines = new ArrayList<>();
        for (String policy : plan.policies) {
            for (double rate : plan.rates) {
                List<ExperimentRunner.Row> selected =
                        rows.stream()
                                .filter(
                                        r ->
                                                r.run().policy().equals(policy)
                                                        && r.run().rateFactor() == rate)
                                .toList();
                ConfidenceInterval difference =
                        difference(rows, plan.policies.get(0), policy, rate);
                lines.add(
                        policy
                                + " | "
                                + rate
                                + " | "
                                + ConfidenceInterval.of(
                                        selected.stream()
                                                .map(ExperimentRunner.Row::service)
                                                .toList())
                                + " | "
                                + difference
                                + " | "
                                + (difference.isSignificant() ? "statistically significant" : "")
                                + " | "
                                + ConfidenceInterval.of(
                                        selected.stream()
                                                .map(ExperimentRunner.Row::firstTokenP99Ms)
                                                .toList())
                                + " | "
                                + selected.stream().mapToInt(ExperimentRunner.Row::breaches).sum());
            }
        }
        return lines;
    }

    private static void chart(
            ExperimentPlan plan,
            List<ExperimentRunner.Row> rows,
            String metric,
            ToDoubleFunction<ExperimentRunner.Row> metricOf,
            Path file)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(640)
                        .height(420)
                        .title(metric + " by load")
                        .xAxisTitle("load, as a factor of the script's")
                        .yAxisTitle(metric)
                        .build();
        for (String policy : plan.policies) {
            List<Double> means = new ArrayList<>();
            List<Double> halfWidths = new ArrayList<>();
            for (double rate : plan.rates) {
                ConfidenceInterval interval =
                        ConfidenceInterval.of(
                                rows.stream()
                                        .filter(
                                                r ->
                                                        r.run().policy().equals(policy)
                                                                && r.run().rateFactor() == rate)
                                        .map(metricOf::applyAsDouble)
                                        .toList());
                means.add(interval.mean);
                halfWidths.add(interval.halfWidth);
            }
            chart.addSeries(policy, plan.rates, means, halfWidths);
        }
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
