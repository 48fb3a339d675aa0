package larchridge.cli;

import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import larchridge.simulatedengine.EngineProfile;
import larchridge.simulatedengine.SimulatedEngine;
import larchridge.state.Role;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one stand-in engine. */
@Command(
        name = "engine",
        mixinStandardHelpOptions = true,
        description = "Run a stand-in engine on loopback; its figures are made up.")
final class EngineCommand implements Callable<Integer> {
    @Option(
            names = "--port",
            defaultValue = "0",
            description = "0 takes any (default: ${DEFAULT-VALUE})")
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
            description = "times as fast (default: ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--streams",
            defaultValue = "60",
            description = "answers side by side (default: ${DEFAULT-VALUE})")
    private int streams;

    @Option(
            names = "--token-ms",
            defaultValue = "8",
            description =
                    "between two tokens of an answer, before --speed "
                            + "(default: ${DEFAULT-VALUE})")
    private double tokenMs;

    @Override
    public Integer call() throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        vertx.runOnContext(
                v ->
                        new SimulatedEngine(
                                        vertx, make(), (sight, engine, rid, tag, amount) -> {}, id)
                                .start(port, false)
                                .onSuccess(
                                        at ->
                                                System.out.println(
                                                        "stand-in "
                                                                + role
                                                                + " "
                                                                + id
                                                                + " on 127.0.0.1:"
                                                                + at))
                                .onFailure(
                                        e -> {
                                            System.err.println("larchridge: " + e.getMessage());
                                            Runtime.getRuntime().halt(1);
                                        }));
        new CountDownLatch(1).await();
        return 0;
    }

    private EngineProfile make() {
        EngineProfile usual = EngineProfile.of(id, role, zone, rack);
        return new EngineProfile(
                        id,
                        role,
                        zone,
                        rack,
                        usual.readTokensPerMs(),
                        Math.max(usual.maxConcurrentReads(), streams / 10),
                        streams,
                        Math.max(usual.queueCapacity(), streams),
                        usual.memoryTokens() * Math.max(1, streams / 60.0),
                        tokenMs,
                        usual.transferTokensPerMs(),
                        usual.coldShare(),
                        usual.coldMs(),
                        usual.stateExpiryMs())
                .scaled(speed);
    }
}
