package larchridge.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import larchridge.systemtest.SoakTest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Loads a front for long and keeps its figures. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Ask a front for long with shared texts, a flood of unshared ones and large logs; write its memory, "
                        + "kept counts and loop delay by time as a table and a chart.")
final class SoakCommand implements Callable<Integer> {
    @Option(names = "--port", required = true, description = "the front's")
    private int port;

    @Option(names = "--admin-port", required = true, description = "its operators' port")
    private int adminPort;

    @Option(
            names = "--per-second",
            defaultValue = "40",
            description = "calls a second (default: ${DEFAULT-VALUE})")
    private double perS;

    @Option(names = "--seconds", defaultValue = "60", description = "default: ${DEFAULT-VALUE}")
    private double seconds;

    @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
    private long seed;

    @Option(
            names = "--into",
            required = true,
            paramLabel = "FOLDER",
            description = "for soak.csv and soak.png")
    private Path folder;

    @Override
    public Integer call() throws InterruptedException, IOException {
        System.out.println("seed " + seed + ", engines are simulated");
        System.out.println(new SoakTest(port, adminPort, perS, seconds, seed, folder).run());
        return 0;
    }
}
