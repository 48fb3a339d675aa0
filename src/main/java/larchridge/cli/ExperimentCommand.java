package larchridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import larchridge.experiment.ExperimentPlan;
import larchridge.experiment.ExperimentRunner;
import larchridge.experiment.ReportPage;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a plan of drills in virtual time and keeps the results. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = {
            "Run a plan of drills in virtual time: policies, loads, fleets, seeds; results as a table, charts and a "
                    + "page. A plan that was stopped goes on where it was.",
            "Exit code 3: the module broke a rule."
        })
final class ExperimentCommand implements Callable<Integer> {
    @Option(
            names = "--plan",
            required = true,
            paramLabel = "FILE",
            description = "what to vary, YAML")
    private Path plan;

    @Option(
            names = "--into",
            required = true,
            paramLabel = "FOLDER",
            description = "for results.csv, charts, index.html")
    private Path folder;

    @Option(
            names = "--side-by-side",
            defaultValue = "4",
            description = "runs at a time (default: ${DEFAULT-VALUE})")
    private int sideBySide;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ExperimentPlan loadedPlan;
        try {
            loadedPlan = ExperimentPlan.read(plan);
        } catch (ExperimentPlan.InvalidPlanException e) {
            System.err.println(e.getMessage());
            return 1;
        }
        Files.createDirectories(folder);
        List<ExperimentRunner.Row> rows =
                ExperimentRunner.run(loadedPlan, folder.resolve("results.csv"), sideBySide);
        ReportPage.write(loadedPlan, rows, folder);
        System.out.println(
                "policy | times load | service | beside the first | | p99 ms | broken rules (engines emulated)");
        ReportPage.lines(loadedPlan, rows).forEach(System.out::println);
        boolean violated =
                rows.stream()
                        .anyMatch(row -> row.run().policy().equals("choice") && row.breaches() > 0);
        return violated ? 3 : 0;
    }
}
