package larchridge.experiment;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import larchridge.baseline.BaselinePolicy;
import larchridge.emulator.EngineModel;
import larchridge.policy.PolicyEvents;
import larchridge.policy.RoutingPolicy;
import larchridge.simulation.SimulationRun;

/**
 * Runs an experiment plan in virtual time, several runs in parallel. Each row of results is written
 * when its run ends, so that an interrupted plan can be resumed.
 */
public final class ExperimentRunner {
    static final String CSV_HEADER =
            "policy,rate,engines,fronts,seed,service,asked,streamed,throttled,terminated,p50_ms,p99_ms,"
                    + "read_toks,kept_toks,out_toks,preemptions,evictions,breaches,virtual_per_real,digest";

    /** The results of one run; csvLine is its line in the results file. */
    public record Row(
            ExperimentPlan.RunParameters run,
            double service,
            double firstTokenP50Ms,
            double firstTokenP99Ms,
            int breaches,
            String digest,
            String csvLine) {}

    private ExperimentRunner() {}

    /** Runs what the results file does not contain yet; returns all rows in the plan's order. */
    public static List<Row> run(ExperimentPlan plan, Path resultsFile, int parallelism)
            throws IOException, InterruptedException {
        Map<String, Row> completed = readCompletedRuns(plan, resultsFile);
        ExecutorService executor = Executors.newFixedThreadPool(parallelism);
        try (BufferedWriter out =
                Files.newBufferedWriter(
                        resultsFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            if (completed.isEmpty() && Files.size(resultsFile) == 0) {
                out.write(CSV_HEADER + "\n");
            }
            Map<ExperimentPlan.RunParameters, Future<Row>> running = new LinkedHashMap<>();
            for (ExperimentPlan.RunParameters run : plan.runs) {
                if (!completed.containsKey(run.key())) {
                    running.put(
                            run,
                            executor.submit(
                                    () -> {
                                        Row row = simulate(plan, run);
                                        synchronized (out) {
                                            out.write(row.csvLine + "\n");
                                            out.flush();
                                        }
                                        return row;
                                    }));
                }
            }
            for (Map.Entry<ExperimentPlan.RunParameters, Future<Row>> entry : running.entrySet()) {
                completed.put(entry.getKey().key(), entry.getValue().get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a simulation run failed", e.getCause());
        } finally {
            executor.shutdownNow();
        }
        return plan.runs.stream().map(run -> completed.get(run.key())).toList();
    }

    private static Row simulate(ExperimentPlan plan, ExperimentPlan.RunParameters run) {
        PolicyEvents.Factory policyFactory =
                run.policy().equals(ExperimentPlan.ROUTING_POLICY)
                        ? RoutingPolicy::new
                        : (settings, actions) ->
                                new BaselinePolicy(
                                        ExperimentPlan.baselineKind(run.policy()),
                                        settings,
                                        actions);
        SimulationRun.Result result =
                SimulationRun.simulate(
                        plan.script
                                .scaled(run.rateFactor(), run.engineFactor(), run.routers())
                                .withSeed(run.seed()),
                        policyFactory);
        long readTokens = 0;
        long cachedTokens = 0;
        long outputTokens = 0;
        long preemptions = 0;
        long evictions = 0;
        for (EngineModel.Totals totals : result.engineTotals()) {
            readTokens += totals.promptTokensRead();
            cachedTokens += totals.promptTokensCached();
            outputTokens += totals.outputTokens();
            preemptions += totals.preemptions();
            evictions += totals.evictions();
        }
        String csvLine =
                String.format(
                        Locale.ROOT,
                        "%s,%.6f,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%.1f,%s",
                        run.key(),
                        result.overall().service(),
                        result.overall().requests,
                        result.overall().streamed,
                        result.overall().throttled,
                        result.overall().terminated,
                        result.overall().firstToken.getValueAtPercentile(50),
                        result.overall().firstToken.getValueAtPercentile(99),
                        readTokens,
                        cachedTokens,
                        outputTokens,
                        preemptions,
                        evictions,
                        result.breaches().size(),
                        result.virtualMs() / result.realMs(),
                        result.digest());
        return parseRow(run, csvLine);
    }

    private static Row parseRow(ExperimentPlan.RunParameters run, String csvLine) {
        String[] columns = csvLine.split(",");
        return new Row(
                run,
                Double.parseDouble(columns[5]),
                Double.parseDouble(columns[10]),
                Double.parseDouble(columns[11]),
                Integer.parseInt(columns[17]),
                columns[19],
                csvLine);
    }

    /**
     * Reads the rows of completed runs. Removes a last line that was not written completely, so
     * that its run is repeated.
     */
    private static Map<String, Row> readCompletedRuns(ExperimentPlan plan, Path resultsFile)
            throws IOException {
        Map<String, Row> rows = new LinkedHashMap<>();
        if (!Files.exists(resultsFile)) {
            return rows;
        }
        List<String> completeLines = new ArrayList<>();
        String content = Files.readString(resultsFile);
        for (String line : content.substring(0, content.lastIndexOf('\n') + 1).split("\n")) {
            completeLines.add(line);
            for (ExperimentPlan.RunParameters run : plan.runs) {
                if (line.startsWith(run.key() + ",")
                        && line.split(",").length == CSV_HEADER.split(",").length) {
                    rows.put(run.key(), parseRow(run, line));
                }
            }
        }
        if (!content.endsWith("\n")) {
            Files.writeString(resultsFile, String.join("\n", completeLines) + "\n");
        }
        return rows;
    }
}
