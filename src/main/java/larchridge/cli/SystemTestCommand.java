package larchridge.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import larchridge.simulation.SimulationRun;
import larchridge.systemtest.BenchDayReader;
import larchridge.systemtest.BillingChecker;
import larchridge.systemtest.ResultCounts;
import larchridge.systemtest.RuleChecker;
import larchridge.systemtest.SystemTest;
import larchridge.systemtest.TestScript;
import larchridge.systemtest.TestScriptReader;
import larchridge.systemtest.TrafficLog;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a scripted system test with real routers and checks the traffic. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = {
            "Run a script of load and faults against real routers, with simulated engines and "
                    + "clients on loopback, and check the rules from the traffic.",
            "Exit code 3: a rule was violated."
        })
final class SystemTestCommand implements Callable<Integer> {
    @ArgGroup(multiplicity = "1")
    private Source source;

    @Option(names = "--seed", description = "seed to use instead of the one in the script")
    private Long seed;

    @Option(
            names = "--log",
            paramLabel = "FILE",
            description = "write the traffic log to this file, as JSON lines")
    private Path log;

    @Option(
            names = "--virtual",
            description =
                    "run in virtual time with emulated engines; a seed always gives the same run, "
                            + "byte for byte")
    private boolean virtual;

    @Option(
            names = "--no-batches",
            description = "leave out the batches of the script, for comparison")
    private boolean noBatches;

    @Option(names = "--figures", description = "print the metrics of the routers at the end")
    private boolean figures;

    @Option(
            names = "--scale",
            defaultValue = "1",
            description =
                    "scales the load and the engine speed of a bench day "
                            + "(default: ${DEFAULT-VALUE})")
    private double scale;

    private int runInVirtualTime(TestScript script) throws IOException {
        SimulationRun.Result result = SimulationRun.simulate(script);
        System.out.print(ResultCounts.table(result.rows()));
        if (log != null) {
            TrafficLog.write(result.events(), log);
        }
        result.breaches().forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "%d rule violations in %d events, digest %s, %d steps, %.0f virtual seconds per "
                        + "second%n",
                result.breaches().size(),
                result.events().size(),
                result.digest(),
                result.tasksRun(),
                result.virtualMs() / result.realMs());
        return result.breaches().isEmpty() ? 0 : 3;
    }

    private static final class Source {
        @Option(names = "--script", paramLabel = "FILE", description = "test script, YAML")
        private Path script;

        @Option(
                names = "--day",
                paramLabel = "FILE",
                description = "a bench day, in the output format of lbsim draw")
        private Path day;
    }

    @Override
    public Integer call() throws InterruptedException, IOException {
        TestScript script;
        try {
            if (source.day != null) {
                BenchDayReader day = BenchDayReader.read(source.day, scale);
                script = day.script();
                day.omissions()
                        .forEach(omission -> System.out.println("not converted: " + omission));
            } else {
                script = TestScriptReader.read(source.script);
            }
        } catch (TestScriptReader.InvalidTestScriptException e) {
            System.err.println(e.getMessage());
            return 1;
        }
        if (seed != null) {
            script = script.withSeed(seed);
        }
        if (noBatches) {
            script = script.withoutBatches();
        }
        System.out.println(
                "seed "
                        + script.seed()
                        + ", "
                        + script.routers()
                        + " routers, engines are simulated");
        if (virtual) {
            return runInVirtualTime(script);
        }
        SystemTest.Result result = SystemTest.runScript(script);
        System.out.print(ResultCounts.table(result.rows()));
        if (figures) {
            System.out.print(result.metrics());
        }
        if (log != null) {
            TrafficLog.write(result.events(), log);
        }
        if (!result.billingRows().isEmpty()) {
            System.out.print(BillingChecker.table(result.billingRows()));
        }
        for (RuleChecker.Violation breach : result.violations()) {
            System.out.println(breach);
        }
        System.out.println(
                result.violations().size()
                        + " rule violations in "
                        + result.events().size()
                        + " events");
        return result.violations().isEmpty() ? 0 : 3;
    }
}
