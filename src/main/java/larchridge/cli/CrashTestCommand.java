package larchridge.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import larchridge.systemtest.CrashTest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Repeatedly kills a service that processes batches. */
@Command(
        name = "kills",
        mixinStandardHelpOptions = true,
        description =
                "Process batches with a service that is killed repeatedly. In the end every line "
                        + "must have exactly one record, and the store must verify after each "
                        + "kill. Exit code 3: a record was lost or duplicated.")
final class CrashTestCommand implements Callable<Integer> {
    @Option(names = "--batches", defaultValue = "5", description = "default: ${DEFAULT-VALUE}")
    private int batches;

    @Option(
            names = "--kills",
            defaultValue = "5",
            description = "maximum number of kills per batch (default: ${DEFAULT-VALUE})")
    private int kills;

    @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
    private long seed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        System.out.println("seed " + seed + ", engines are simulated");
        CrashTest.Result result = CrashTest.play(seed, batches, kills);
        result.faults().forEach(System.out::println);
        System.out.println(
                result.batches()
                        + " batches, "
                        + result.kills()
                        + " kills, "
                        + result.atWrites()
                        + " of them at a store write, "
                        + result.ranTwice()
                        + " repeatable lines ran more than once, "
                        + result.faults().size()
                        + " faults");
        return result.faults().isEmpty() ? 0 : 3;
    }
}
