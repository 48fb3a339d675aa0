package larchridge.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import larchridge.serve.Service;
import larchridge.simulatedengine.EngineProfile;
import larchridge.site.SiteReader;
import larchridge.state.Role;
import larchridge.systemtest.SimulatedFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a router and six simulated engines in one process, for trying out the API. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Serve the messages API on loopback with six simulated engines in this process.")
final class DemoCommand implements Callable<Integer> {
    @Option(names = "--port", defaultValue = "8080", description = "default: ${DEFAULT-VALUE}")
    private int port;

    @Override
    public Integer call() throws Exception {
        List<EngineProfile> profiles =
                List.of(
                        EngineProfile.of(1, Role.READER, "west", 1),
                        EngineProfile.of(2, Role.READER, "west", 2),
                        EngineProfile.of(3, Role.WRITER, "west", 1),
                        EngineProfile.of(4, Role.WRITER, "west", 2),
                        EngineProfile.of(5, Role.BOTH, "west", 1),
                        EngineProfile.of(6, Role.WRITER, "west", 2));
        try (SimulatedFleet fleet =
                SimulatedFleet.start(profiles, (kind, engine, rid, tag, amount) -> {}, 1)) {
            Path folder = Files.createTempDirectory("larchridge-demo");
            fleet.writeEngineList(folder.resolve("engines.yaml"));
            Service service = Service.start(SiteReader.read("demo", SITE.formatted(port), folder));
            System.out.println(
                    "serving the messages API on 127.0.0.1:"
                            + service.ports().get(0)
                            + ", models consulta and resumen-registro; any x-api-key");
            new CountDownLatch(1).await();
        }
        return 0;
    }

    private static final String SITE =
            """
            listen { host: "127.0.0.1" port: %d }
            fronts: 1
            zone: "west"
            guest: "demo"
            inventory { file: "engines.yaml" poll_ms: 50 }
            product {
              name: "consulta" model: "consulta" effect: IDEMPOTENT
              slo_ms: 1200 slo_ms_per_1000_tokens: 40 time_limit_ms: 5000
            }
            product {
              name: "resumen-registro" model: "resumen-registro" effect: IDEMPOTENT revenue: 3
              slo_ms: 2000 slo_ms_per_1000_tokens: 120 time_limit_ms: 8000
            }
            engines { second_copies: true reports_with_answers: true }
            """;
}
