package larchridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import larchridge.faultinjection.FaultInjectionRun;
import larchridge.faultinjection.FaultKind;
import larchridge.faultinjection.FaultScript;
import larchridge.faultinjection.FaultTestResult;
import larchridge.faultinjection.PlantedFault;
import larchridge.faultinjection.SupportedFaultKinds;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Injects overlapping faults into a cluster of real node processes. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description =
                "Start node processes on loopback between simulated engines, discovery agents and "
                        + "clients, inject overlapping faults that are generated from a seed, and "
                        + "check the traffic and the invariants. Exit code 3: a rule or an "
                        + "invariant was violated.")
final class FaultInjectionCommand implements Callable<Integer> {
    private static final String TABLE_HEAD =
            "seed\tbuild\tnodes\tseconds\tplanted\trequests\twhole\tlate_ms\tverdict\tfaults\n";

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "the first seed (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "1",
            description = "number of runs, with consecutive seeds (default: ${DEFAULT-VALUE})")
    private int runs;

    @Option(
            names = "--nodes",
            defaultValue = "24",
            description = "node processes, 60 at most (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--readers", defaultValue = "4", description = "default: ${DEFAULT-VALUE}")
    private int readers;

    @Option(names = "--writers", defaultValue = "6", description = "default: ${DEFAULT-VALUE}")
    private int writers;

    @Option(
            names = "--seconds",
            defaultValue = "40",
            description = "length of each run, 600 at most (default: ${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--per-second",
            defaultValue = "80",
            description = "requests per second over all nodes (default: ${DEFAULT-VALUE})")
    private double perSecond;

    @Option(
            names = "--kinds",
            split = ",",
            description = "kinds of faults (default: all that this machine can inject)")
    private List<FaultKind> kinds = new ArrayList<>();

    @Option(names = "--script", description = "run this script instead of a generated one")
    private Path script;

    @Option(
            names = "--plant",
            defaultValue = "NONE",
            description =
                    "a fault outside the nodes that the checks have to detect: "
                            + "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
    private PlantedFault plant;

    @Option(names = "--build", defaultValue = "-", description = "name of the build, for the table")
    private String build;

    @Option(
            names = "--into",
            required = true,
            paramLabel = "FOLDER",
            description = "output folder for scripts, logs, traffic and table.tsv")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        if (nodes > 60 || seconds > 600) {
            System.err.println("larchridge: at most 60 nodes and 600 seconds");
            return 2;
        }
        Files.createDirectories(folder);
        List<FaultKind> supportedKinds =
                SupportedFaultKinds.supported(kinds, FaultInjectionRun.canBuildShim(folder));
        boolean violated = false;
        for (int i = 0; i < runs; i++) {
            FaultScript runScript =
                    script != null
                            ? FaultScript.read(script)
                            : FaultScript.generate(
                                    seed + i,
                                    nodes,
                                    readers,
                                    writers,
                                    seconds,
                                    perSecond,
                                    supportedKinds);
            FaultTestResult result =
                    new FaultInjectionRun(
                                    runScript, plant, folder.resolve("seed" + runScript.seed()))
                            .run();
            violated |= !result.passed();
            report(runScript, result);
        }
        return violated ? 3 : 0;
    }

    private void report(FaultScript runScript, FaultTestResult result) throws IOException {
        System.out.printf(
                Locale.ROOT,
                "seed %d: %d requests, %d completed, harness lag at most %.0f ms: %s%n",
                runScript.seed(),
                result.requests(),
                result.completed(),
                result.maxLagMs(),
                result.passed() ? "passed" : "FAILED");
        result.violations().stream()
                .limit(10)
                .forEach(violation -> System.out.println("  " + violation));
        Path table = folder.resolve("table.tsv");
        if (!Files.exists(table)) {
            Files.writeString(table, TABLE_HEAD);
        }
        Files.writeString(
                table,
                String.format(
                        Locale.ROOT,
                        "%d\t%s\t%d\t%.0f\t%s\t%d\t%d\t%.0f\t%s\t%d%n",
                        runScript.seed(),
                        build,
                        runScript.nodes(),
                        runScript.seconds(),
                        plant,
                        result.requests(),
                        result.completed(),
                        result.maxLagMs(),
                        result.passed() ? "passed" : "failed",
                        result.violations().size()),
                StandardOpenOption.APPEND);
    }
}
