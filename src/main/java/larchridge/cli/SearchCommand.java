package larchridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import larchridge.experiment.FaultSearch;
import larchridge.systemtest.TestScript;
import larchridge.systemtest.TestScriptReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Searches for the faults under which the routing module performs worst. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description = {
            "Search, in virtual time, for faults that violate a rule or under which a baseline "
                    + "policy outperforms the module by most; write the smallest such script.",
            "Exit code 3: a rule was violated."
        })
final class SearchCommand implements Callable<Integer> {
    @Option(
            names = "--script",
            required = true,
            paramLabel = "FILE",
            description = "script with fleet and load; its faults are replaced")
    private Path script;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the search (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--tries", defaultValue = "100", description = "default: ${DEFAULT-VALUE}")
    private int tries;

    @Option(
            names = "--side-by-side",
            defaultValue = "4",
            description = "concurrent runs (default: ${DEFAULT-VALUE})")
    private int sideBySide;

    @Option(
            names = "--into",
            required = true,
            paramLabel = "FILE",
            description = "output file for the script")
    private Path into;

    @Override
    public Integer call() throws InterruptedException, IOException {
        TestScript loadedScript;
        try {
            loadedScript = TestScriptReader.read(script);
        } catch (TestScriptReader.InvalidTestScriptException e) {
            System.err.println(e.getMessage());
            return 1;
        }
        FaultSearch.Candidate worst = FaultSearch.run(loadedScript, seed, tries, sideBySide);
        Files.writeString(into, FaultSearch.yaml(worst.script()));
        System.out.printf(
                Locale.ROOT,
                "seed %d, %d scripts: service %.3f, %d rule violations, a baseline policy serves "
                        + "%.3f more%n",
                seed,
                tries,
                worst.service(),
                worst.breaches(),
                worst.breaches() > 0 ? 0 : worst.severity());
        worst.script().faults().forEach(System.out::println);
        return worst.breaches() > 0 ? 3 : 0;
    }
}
