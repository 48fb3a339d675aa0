package larchridge.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import larchridge.systemtest.CrashTest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Kills a service that works on batches. */
@Command(
        name = "kills",
        mixinStandardHelpOptions = true,
        description =
                "Work on batches with a service that is killed outright again and again; every line must have one "
                        + "record in the end, the store must verify after each death. Exit code 3: something was lost or doubled.")
final class CrashTestCommand implements Callable<Integer> {
    @Option(names = "--batches", defaultValue = "5", description = "default: ${DEFAULT-VALUE}")
    private int batches;

    @Option(
            names = "--kills",
            defaultValue = "5",
            description = "of each batch, at most (default: ${DEFAULT-VALUE})")
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
                        + " of them at a write, "
                        + result.ranTwice()
                        + " repeatable lines ran more than once, "
                        + result.faults().size()
                        + " faults");
        return result.faults().isEmpty() ? 0 : 3;
    }
}
