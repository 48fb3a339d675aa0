package larchridge.cli;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import larchridge.systemtest.LoadGenerator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the throughput, latency and CPU cost of a router. */
@Command(
        name = "pump",
        mixinStandardHelpOptions = true,
        description =
                "Send requests as fast as responses arrive, through a router (one port) or "
                        + "directly to a reader and a writer (two ports), and print the rate, the "
                        + "time to the first token and the CPU time of a process.")
final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--ports",
            required = true,
            split = ",",
            description = "port of a router, or ports of a reader and a writer")
    private int[] ports;

    @Option(names = "--clients", defaultValue = "16", description = "default: ${DEFAULT-VALUE}")
    private int clients;

    @Option(names = "--seconds", defaultValue = "5", description = "default: ${DEFAULT-VALUE}")
    private double seconds;

    @Option(
            names = "--warm",
            defaultValue = "3",
            description = "warm-up seconds, not counted (default: ${DEFAULT-VALUE})")
    private double warm;

    @Option(
            names = "--prompt",
            defaultValue = "200",
            description = "prompt tokens (default: ${DEFAULT-VALUE})")
    private int prompt;

    @Option(
            names = "--out",
            defaultValue = "20",
            description = "response tokens (default: ${DEFAULT-VALUE})")
    private int out;

    @Option(names = "--h2", description = "use HTTP/2, with many streams per connection")
    private boolean multiplexed;

    @Option(
            names = "--over",
            defaultValue = "0",
            description = "seconds over which the clients start " + "(default: ${DEFAULT-VALUE})")
    private double over;

    @Option(
            names = "--pid",
            defaultValue = "-1",
            description = "process whose CPU time is measured")
    private long pid;

    @Override
    public Integer call() throws InterruptedException {
        double[] cpu = new double[2];
        LoadGenerator.Measurement result =
                new LoadGenerator("127.0.0.1", ports, clients, prompt, out, multiplexed, over)
                        .run(warm, seconds, () -> cpu[0] = cpuMs(), () -> cpu[1] = cpuMs());
        double completed = Math.max(1, result.streamed.sum());
        System.out.printf(
                Locale.ROOT,
                "clients %d streamed/s %.0f pieces/s %.0f failed %d first token p50 %.2f ms"
                        + " p99 %.2f ms cpu/generation %.3f ms%n",
                clients,
                completed / result.seconds,
                result.textEvents.sum() / result.seconds,
                result.failed.sum(),
                result.firstToken.getValueAtPercentile(50) / 1000.0,
                result.firstToken.getValueAtPercentile(99) / 1000.0,
                (cpu[1] - cpu[0]) / completed);
        return 0;
    }

    private double cpuMs() {
        return pid < 0
                ? 0
                : ProcessHandle.of(pid)
                                .flatMap(p -> p.info().totalCpuDuration())
                                .map(Duration::toNanos)
                                .orElse(0L)
                        / 1e6;
    }
}
