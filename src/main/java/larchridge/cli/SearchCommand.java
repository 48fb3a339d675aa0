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

/** Looks for the troubles under which the module does worst. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description = {
            "Look, in virtual time, for the troubles that break a rule or under which a plain policy serves most more "
                    + "than the module; write the smallest such script.",
            "Exit code 3: a rule was broken."
        })
final class SearchCommand implements Callable<Integer> {
    @Option(
            names = "--script",
            required = true,
            paramLabel = "FILE",
            description = "fleet and load; its troubles are replaced")
    private Path script;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "of the search (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--tries", defaultValue = "100", description = "default: ${DEFAULT-VALUE}")
    private int tries;

    @Option(
            names = "--side-by-side",
            defaultValue = "4",
            description = "runs at a time (default: ${DEFAULT-VALUE})")
    private int sideBySide;

    @Option(
            names = "--into",
            required = true,
            paramLabel = "FILE",
            description = "where the script goes")
    private Path into;

    @Override
    public Integer call() throws InterruptedException, IOException {
        TestScript read;
        try {
            read = TestScriptReader.read(script);
        } catch (TestScriptReader.InvalidTestScriptException e) {
            System.err.println(e.getMessage());
            return 1;
        }
        FaultSearch.Candidate found = FaultSearch.run(read, seed, tries, sideBySide);
        Files.writeString(into, FaultSearch.yaml(found.script()));
        System.out.printf(
                Locale.ROOT,
                "seed %d, %d scripts: service %.3f, %d broken rules, a plain policy serves %.3f more%n",
                seed,
                tries,
                found.service(),
                found.breaches(),
                found.breaches() > 0 ? 0 : found.severity());
        found.script().faults().forEach(System.out::println);
        return found.breaches() > 0 ? 3 : 0;
    }
}
