package larchridge.cli;

import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import larchridge.simulatedengine.EngineProfile;
import larchridge.simulatedengine.SimulatedEngine;
import larchridge.state.Role;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one simulated engine. */
@Command(
        name = "engine",
        mixinStandardHelpOptions = true,
        description = "Run a simulated engine on loopback; its performance figures are invented.")
final class EngineCommand implements Callable<Integer> {
    @Option(
            names = "--port",
            defaultValue = "0",
            description = "0 selects a free port (default: ${DEFAULT-VALUE})")
    private int port;

    @Option(
            names = "--id",
            defaultValue = "1",
            description = "as in the engine list (default: ${DEFAULT-VALUE})")
    private long id;

    @Option(names = "--role", defaultValue = "both", description = "${COMPLETION-CANDIDATES}")
    private Role role;

    @Option(names = "--zone", defaultValue = "", description = "zone")
    private String zone;

    @Option(names = "--rack", defaultValue = "0", description = "rack")
    private long rack;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "speed factor (default: ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--streams",
            defaultValue = "60",
            description = "concurrent responses (default: ${DEFAULT-VALUE})")
    private int streams;

    @Option(
            names = "--token-ms",
            defaultValue = "8",
            description =
                    "time between two tokens of a response, before --speed is applied "
                            + "(default: ${DEFAULT-VALUE})")
    private double tokenMs;

    @Override
    public Integer call() throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        vertx.runOnContext(
                v ->
                        new SimulatedEngine(
                                        vertx,
                                        profile(),
                                        (kind, engine, rid, tag, amount) -> {},
                                        id)
                                .start(port, false)
                                .onSuccess(
                                        boundPort ->
                                                System.out.println(
                                                        "simulated engine "
                                                                + role
                                                                + " "
                                                                + id
                                                                + " on 127.0.0.1:"
                                                                + boundPort))
                                .onFailure(
                                        e -> {
                                            System.err.println("larchridge: " + e.getMessage());
                                            Runtime.getRuntime().halt(1);
                                        }));
        new CountDownLatch(1).await();
        return 0;
    }

    private EngineProfile profile() {
        EngineProfile defaults = EngineProfile.of(id, role, zone, rack);
        return new EngineProfile(
                        id,
                        role,
                        zone,
                        rack,
                        defaults.readTokensPerMs(),
                        Math.max(defaults.maxConcurrentReads(), streams / 10),
                        streams,
                        Math.max(defaults.queueCapacity(), streams),
                        defaults.memoryTokens() * Math.max(1, streams / 60.0),
                        tokenMs,
                        defaults.transferTokensPerMs(),
                        defaults.coldShare(),
                        defaults.coldMs(),
                        defaults.stateExpiryMs())
                .scaled(speed);
    }
}
