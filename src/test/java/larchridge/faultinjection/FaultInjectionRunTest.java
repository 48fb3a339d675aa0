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
 * Short runs of the rig over real processes; long ones with many seeds are played by its command.
 */
@Timeout(120)
class FaultInjectionRunTest {
    private static final int NODES = 3;
    private static final double SECONDS = 15;
    private static final double PER_SECOND = 30;
    private static final List<Integer> ALL_NODES = List.of(0, 1, 2);

    @TempDir Path folder;

    private FaultTestResult play(PlantedFault plant, Fault... troubles) throws Exception {
        FaultScript script =
                new FaultScript(7, NODES, 2, 3, SECONDS, PER_SECOND, List.of(troubles));
        FaultTestResult judgement = new FaultInjectionRun(script, plant, folder).run();
        assertTrue(judgement.requests() > SECONDS * PER_SECOND / 2, judgement.toString());
        return judgement;
    }

    @Test
    void overlappingTroublesBreakNothing() throws Exception {
        FaultTestResult judgement =
                play(
                        PlantedFault.NONE,
                        new Fault(FaultKind.LINK_SILENT, 1000, 3000, List.of(2, 3), List.of(), 0),
                        new Fault(FaultKind.NODE_TERM, 1500, 1000, List.of(), List.of(0), 0),
                        new Fault(FaultKind.CONFIG_BROKEN, 2000, 1000, List.of(), List.of(1), 0),
                        new Fault(FaultKind.ENGINE_DRAIN, 2500, 2000, List.of(0), List.of(), 0),
                        new Fault(FaultKind.CLIENT_LEAVES, 2000, 2000, List.of(), List.of(), 0));
        assertEquals(List.of(), judgement.faults());
    }

    @Test
    void releasesThatReleaseNothingAreSeen() throws Exception {
        FaultTestResult judgement =
                play(
                        PlantedFault.RELEASES_IGNORED,
                        new Fault(FaultKind.CLIENT_LEAVES, 500, 8000, List.of(), List.of(), 0),
                        new Fault(
                                FaultKind.ENGINE_HANG, 1000, 4000, List.of(2, 3, 4), ALL_NODES, 0));
        assertTrue(
                judgement.faults().stream().anyMatch(fault -> fault.contains("rule 5")),
                judgement.toString());
    }

    @Test
    void scriptIsDrawnAlikeFromItsSeedAndReadAsItWasWritten() throws IOException {
        List<FaultKind> kinds = List.of(FaultKind.values());
        FaultScript drawn = FaultScript.draw(5, 24, 4, 6, 40, 80, kinds);
        assertEquals(drawn, FaultScript.draw(5, 24, 4, 6, 40, 80, kinds));
        drawn.write(folder.resolve("script.yaml"));
        assertEquals(drawn, FaultScript.read(folder.resolve("script.yaml")));
        assertTrue(
                drawn.troubles().stream()
                        .allMatch(one -> one.endMs() <= (40 - FaultScript.CALM_S) * 1000));
    }

    @Test
    void faultInAScriptIsToldWithItsPlace() throws IOException {
        Path file = folder.resolve("bad.yaml");
        Files.writeString(
                file,
                "seed: 1\nnodes: 1\nreaders: 1\nwriters: 1\nseconds: 12\nper_second: 1\ntroubles:\n- {kind: NOISE}\n");
        IOException fault =
                org.junit.jupiter.api.Assertions.assertThrows(
                        IOException.class, () -> FaultScript.read(file));
        assertTrue(
                fault.getMessage().contains("bad.yaml: troubles[0].kind is 'NOISE'"),
                fault.getMessage());
    }
}
