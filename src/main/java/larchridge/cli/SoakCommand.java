package larchridge.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import larchridge.systemtest.SoakTest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a router under load for a long time and records its metrics. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Send requests to a router for a long time, with shared texts, many unique ones "
                        + "and large logs; write its memory, cached token counts and event loop "
                        + "delay over time as a table and a chart.")
final class SoakCommand implements Callable<Integer> {
    @Option(names = "--port", required = true, description = "port of the router")
    private int port;

    @Option(names = "--admin-port", required = true, description = "admin port of the router")
    private int adminPort;

    @Option(
            names = "--per-second",
            defaultValue = "40",
            description = "requests per second (default: ${DEFAULT-VALUE})")
    private double perS;

    @Option(names = "--seconds", defaultValue = "60", description = "default: ${DEFAULT-VALUE}")
    private double seconds;

    @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
    private long seed;

    @Option(
            names = "--into",
            required = true,
            paramLabel = "FOLDER",
            description = "output folder for soak.csv and soak.png")
    private Path folder;

    @Override
    public Integer call() throws InterruptedException, IOException {
        System.out.println("seed " + seed + ", engines are simulated");
        System.out.println(new SoakTest(port, adminPort, perS, seconds, seed, folder).run());
        return 0;
    }
}
