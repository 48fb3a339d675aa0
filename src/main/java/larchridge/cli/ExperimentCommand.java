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

/** Runs a plan of system tests in virtual time and writes the results. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = {
            "Run a plan of system tests in virtual time over policies, loads, fleets and seeds; "
                    + "write the results as a table, charts and a page. A stopped plan resumes "
                    + "where it stopped.",
            "Exit code 3: the module violated a rule."
        })
final class ExperimentCommand implements Callable<Integer> {
    @Option(
            names = "--plan",
            required = true,
            paramLabel = "FILE",
            description = "parameters to vary, YAML")
    private Path plan;

    @Option(
            names = "--into",
            required = true,
            paramLabel = "FOLDER",
            description = "output folder for results.csv, charts and index.html")
    private Path folder;

    @Option(
            names = "--side-by-side",
            defaultValue = "4",
            description = "concurrent runs (default: ${DEFAULT-VALUE})")
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
                "policy | load factor | service | relative to the first | | p99 ms | rule "
                        + "violations (engines emulated)");
        ReportPage.lines(loadedPlan, rows).forEach(System.out::println);
        boolean violated =
                rows.stream()
                        .anyMatch(row -> row.run().policy().equals("choice") && row.breaches() > 0);
        return violated ? 3 : 0;
    }
}
