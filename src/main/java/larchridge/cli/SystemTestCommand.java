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

/** Plays a scripted bad day through real fronts and judges it from the traffic. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = {
            "Play a bad day: real fronts, stand-in engines and clients over loopback; the rules are checked "
                    + "from the traffic.",
            "Exit code 3: a rule was broken."
        })
final class SystemTestCommand implements Callable<Integer> {
    @ArgGroup(multiplicity = "1")
    private Source source;

    @Option(names = "--seed", description = "in place of the script's")
    private Long seed;

    @Option(
            names = "--log",
            paramLabel = "FILE",
            description = "write the traffic log there, as JSON lines")
    private Path log;

    @Option(
            names = "--virtual",
            description = "in virtual time over emulated engines: one seed, one run, to the byte")
    private boolean virtual;

    @Option(names = "--no-batches", description = "leave the script's batches out, to compare")
    private boolean noBatches;

    @Option(names = "--figures", description = "print the fronts' own figures at the end")
    private boolean figures;

    @Option(
            names = "--scale",
            defaultValue = "1",
            description =
                    "of a bench day's load and engines' speed " + "(default: ${DEFAULT-VALUE})")
    private double scale;

    private int playVirtually(TestScript script) throws IOException {
        SimulationRun.Result result = SimulationRun.simulate(script);
        System.out.print(ResultCounts.table(result.rows()));
        if (log != null) {
            TrafficLog.write(result.events(), log);
        }
        result.breaches().forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "%d broken rules in %d sights, digest %s, %d steps, %.0f virtual seconds a second%n",
                result.breaches().size(),
                result.events().size(),
                result.digest(),
                result.tasksRun(),
                result.virtualMs() / result.realMs());
        return result.breaches().isEmpty() ? 0 : 3;
    }

    private static final class Source {
        @Option(names = "--script", paramLabel = "FILE", description = "drill script, YAML")
        private Path script;

        @Option(
                names = "--day",
                paramLabel = "FILE",
                description = "a bench day, as lbsim draw prints it")
        private Path day;
    }

    @Override
    public Integer call() throws InterruptedException, IOException {
        TestScript script;
        try {
            if (source.day != null) {
                BenchDayReader day = BenchDayReader.read(source.day, scale);
                script = day.script();
                day.omissions().forEach(what -> System.out.println("not carried over: " + what));
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
                        + " fronts, engines are simulated");
        if (virtual) {
            return playVirtually(script);
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
                result.violations().size() + " broken rules in " + result.events().size() + " sights");
        return result.violations().isEmpty() ? 0 : 3;
    }
}
