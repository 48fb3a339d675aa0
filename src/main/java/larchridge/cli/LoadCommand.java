package larchridge.cli;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import larchridge.systemtest.LoadGenerator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures what a front costs. */
@Command(
        name = "pump",
        mixinStandardHelpOptions = true,
        description =
                "Ask as fast as answers come, through a front (one port) or at a reader and a writer directly "
                        + "(two ports), and tell rate, time to the first token and the CPU of a process.")
final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--ports",
            required = true,
            split = ",",
            description = "a front's, or a reader's and a writer's")
    private int[] ports;

    @Option(names = "--clients", defaultValue = "16", description = "default: ${DEFAULT-VALUE}")
    private int clients;

    @Option(names = "--seconds", defaultValue = "5", description = "default: ${DEFAULT-VALUE}")
    private double seconds;

    @Option(
            names = "--warm",
            defaultValue = "3",
            description = "seconds before counting (default: ${DEFAULT-VALUE})")
    private double warm;

    @Option(
            names = "--prompt",
            defaultValue = "200",
            description = "prompt tokens (default: ${DEFAULT-VALUE})")
    private int prompt;

    @Option(
            names = "--out",
            defaultValue = "20",
            description = "answer tokens (default: ${DEFAULT-VALUE})")
    private int out;

    @Option(names = "--h2", description = "HTTP/2: many streams a connection")
    private boolean multiplexed;

    @Option(
            names = "--over",
            defaultValue = "0",
            description = "seconds over which the clients come " + "(default: ${DEFAULT-VALUE})")
    private double over;

    @Option(names = "--pid", defaultValue = "-1", description = "a process whose CPU is told")
    private long pid;

    @Override
    public Integer call() throws InterruptedException {
        double[] cpu = new double[2];
        LoadGenerator.Measurement gain =
                new LoadGenerator("127.0.0.1", ports, clients, prompt, out, multiplexed, over)
                        .run(warm, seconds, () -> cpu[0] = cpuMs(), () -> cpu[1] = cpuMs());
        double streamed = Math.max(1, gain.streamed.sum());
        System.out.printf(
                Locale.ROOT,
                "clients %d streamed/s %.0f pieces/s %.0f failed %d first token p50 %.2f ms"
                        + " p99 %.2f ms cpu/generation %.3f ms%n",
                clients,
                streamed / gain.seconds,
                gain.textEvents.sum() / gain.seconds,
                gain.failed.sum(),
                gain.firstToken.getValueAtPercentile(50) / 1000.0,
                gain.firstToken.getValueAtPercentile(99) / 1000.0,
                (cpu[1] - cpu[0]) / streamed);
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
