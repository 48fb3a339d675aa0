package larchridge.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Short fault injection runs with real node processes. Guards against: a node violates a rule while
 * faults overlap, or the checks miss a planted fault. Long runs over many seeds are started with
 * the {@code faults} command.
 */
@Timeout(120)
class FaultInjectionRunTest {
    private static final int NODES = 3;
    private static final double SECONDS = 15;
    private static final double PER_SECOND = 30;
    private static final List<Integer> ALL_NODES = List.of(0, 1, 2);

    @TempDir Path folder;

    private FaultTestResult run(PlantedFault plantedFault, Fault... faults) throws Exception {
        FaultScript script = new FaultScript(7, NODES, 2, 3, SECONDS, PER_SECOND, List.of(faults));
        FaultTestResult result = new FaultInjectionRun(script, plantedFault, folder).run();
        assertTrue(result.requests() > SECONDS * PER_SECOND / 2, result.toString());
        return result;
    }

    @Test
    void overlappingFaultsCauseNoViolation() throws Exception {
        FaultTestResult result =
                run(
                        PlantedFault.NONE,
                        new Fault(FaultKind.LINK_SILENT, 1000, 3000, List.of(2, 3), List.of(), 0),
                        new Fault(FaultKind.NODE_TERM, 1500, 1000, List.of(), List.of(0), 0),
                        new Fault(FaultKind.CONFIG_BROKEN, 2000, 1000, List.of(), List.of(1), 0),
                        new Fault(FaultKind.ENGINE_DRAIN, 2500, 2000, List.of(0), List.of(), 0),
                        new Fault(FaultKind.CLIENT_LEAVES, 2000, 2000, List.of(), List.of(), 0));
        assertEquals(List.of(), result.violations());
    }

    @Test
    void ignoredReleasesAreDetected() throws Exception {
        FaultTestResult result =
                run(
                        PlantedFault.RELEASES_IGNORED,
                        new Fault(FaultKind.CLIENT_LEAVES, 500, 8000, List.of(), List.of(), 0),
                        new Fault(
                                FaultKind.ENGINE_HANG, 1000, 4000, List.of(2, 3, 4), ALL_NODES, 0));
        assertTrue(
                result.violations().stream().anyMatch(fault -> fault.contains("rule 5")),
                result.toString());
    }

    @Test
    void scriptIsReproducibleFromSeedAndSurvivesRoundTrip() throws IOException {
        List<FaultKind> kinds = List.of(FaultKind.values());
        FaultScript script = FaultScript.generate(5, 24, 4, 6, 40, 80, kinds);
        assertEquals(script, FaultScript.generate(5, 24, 4, 6, 40, 80, kinds));
        script.write(folder.resolve("script.yaml"));
        assertEquals(script, FaultScript.read(folder.resolve("script.yaml")));
        assertTrue(
                script.faults().stream()
                        .allMatch(
                                fault -> fault.endMs() <= (40 - FaultScript.QUIET_SECONDS) * 1000));
    }

    @Test
    void scriptErrorNamesFileAndField() throws IOException {
        Path file = folder.resolve("bad.yaml");
        Files.writeString(
                file,
                "seed: 1\nnodes: 1\nreaders: 1\nwriters: 1\nseconds: 12\nper_second: 1\ntroubles:\n- {kind: NOISE}\n");
        IOException error =
                org.junit.jupiter.api.Assertions.assertThrows(
                        IOException.class, () -> FaultScript.read(file));
        assertTrue(
                error.getMessage().contains("bad.yaml: troubles[0].kind is 'NOISE'"),
                error.getMessage());
    }
}
