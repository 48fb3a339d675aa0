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
 * Runs a plan in virtual time, so many runs side by side; each row is written as its run ends, so
 * that a plan goes on where it was.
 */
public final class ExperimentRunner {
    static final String HEAD =
            "policy,rate,engines,fronts,seed,service,asked,streamed,throttled,terminated,p50_ms,p99_ms,"
                    + "read_toks,kept_toks,out_toks,preemptions,evictions,breaches,virtual_per_real,digest";

    /** One row of the results. */
    public record Row(
            ExperimentPlan.Point point,
            double service,
            double p50,
            double p99,
            int breaches,
            String digest,
            String text) {}

    private ExperimentRunner() {}

    /** Runs what the table does not hold yet; returns all rows in the plan's order. */
    public static List<Row> run(ExperimentPlan plan, Path table, int sideBySide)
            throws IOException, InterruptedException {
        Map<String, Row> known = read(plan, table);
        ExecutorService threads = Executors.newFixedThreadPool(sideBySide);
        try (BufferedWriter out =
                Files.newBufferedWriter(
                        table, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            if (known.isEmpty() && Files.size(table) == 0) {
                out.write(HEAD + "\n");
            }
            Map<ExperimentPlan.Point, Future<Row>> running = new LinkedHashMap<>();
            for (ExperimentPlan.Point point : plan.points) {
                if (!known.containsKey(point.key())) {
                    running.put(
                            point,
                            threads.submit(
                                    () -> {
                                        Row row = one(plan, point);
                                        synchronized (out) {
                                            out.write(row.text + "\n");
                                            out.flush();
                                        }
                                        return row;
                                    }));
                }
            }
            for (Map.Entry<ExperimentPlan.Point, Future<Row>> entry : running.entrySet()) {
                known.put(entry.getKey().key(), entry.getValue().get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed", e.getCause());
        } finally {
            threads.shutdownNow();
        }
        return plan.points.stream().map(point -> known.get(point.key())).toList();
    }

    private static Row one(ExperimentPlan plan, ExperimentPlan.Point point) {
        PolicyEvents.Factory module =
                point.policy().equals(ExperimentPlan.CHOICE)
                        ? RoutingPolicy::new
                        : (terms, host) ->
                                new BaselinePolicy(
                                        ExperimentPlan.kind(point.policy()), terms, host);
        SimulationRun.Result result =
                SimulationRun.play(
                        plan.script
                                .scaled(point.rate(), point.engines(), point.fronts())
                                .withSeed(point.seed()),
                        module);
        long read = 0;
        long kept = 0;
        long out = 0;
        long preempted = 0;
        long evicted = 0;
        for (EngineModel.Sums sums : result.sums()) {
            read += sums.promptTokensRead();
            kept += sums.promptTokensKept();
            out += sums.tokensOut();
            preempted += sums.preemptions();
            evicted += sums.evictions();
        }
        String text =
                String.format(
                        Locale.ROOT,
                        "%s,%.6f,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%.1f,%s",
                        point.key(),
                        result.all().service(),
                        result.all().asked,
                        result.all().streamed,
                        result.all().throttled,
                        result.all().terminated,
                        result.all().firstToken.getValueAtPercentile(50),
                        result.all().firstToken.getValueAtPercentile(99),
                        read,
                        kept,
                        out,
                        preempted,
                        evicted,
                        result.breaches().size(),
                        result.virtualMs() / result.realMs(),
                        result.digest());
        return row(point, text);
    }

    private static Row row(ExperimentPlan.Point point, String text) {
        String[] cells = text.split(",");
        return new Row(
                point,
                Double.parseDouble(cells[5]),
                Double.parseDouble(cells[10]),
                Double.parseDouble(cells[11]),
                Integer.parseInt(cells[17]),
                cells[19],
                text);
    }

    /** Rows of runs that ended; a last line that was cut short is run again. */
    private static Map<String, Row> read(ExperimentPlan plan, Path table) throws IOException {
        Map<String, Row> rows = new LinkedHashMap<>();
        if (!Files.exists(table)) {
            return rows;
        }
        List<String> whole = new ArrayList<>();
        String all = Files.readString(table);
        for (String line : all.substring(0, all.lastIndexOf('\n') + 1).split("\n")) {
            whole.add(line);
            for (ExperimentPlan.Point point : plan.points) {
                if (line.startsWith(point.key() + ",")
                        && line.split(",").length == HEAD.split(",").length) {
                    rows.put(point.key(), row(point, line));
                }
            }
        }
        if (!all.endsWith("\n")) {
            Files.writeString(table, String.join("\n", whole) + "\n");
        }
        return rows;
    }
}
