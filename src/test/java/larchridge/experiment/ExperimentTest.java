package larchridge.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import larchridge.systemtest.TestScript;
import larchridge.systemtest.TestScriptReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests plans, their resumption after an interruption, the report and the fault search. */
class ExperimentTest {
    private Path folder;

    @BeforeEach
    void createFiles() throws Exception {
        folder = Files.createTempDirectory("larchridge-experiment");
        Files.writeString(
                folder.resolve("s.yaml"),
                """
                duration_ms: 1500
                rate_per_s: 60
                engines:
                  - {role: reader, count: 2}
                  - {role: writer, count: 2}
                products:
                  - {name: consulta, slo_ms: 600, time_limit_ms: 2500, prompt_tokens: 300, output_tokens: 8}
                """);
        Files.writeString(
                folder.resolve("p.yaml"),
                """
                script: s.yaml
                seeds: [1, 2]
                policies: [choice, random]
                rates: [1, 2]
                """);
    }

    @AfterEach
    void deleteFiles() throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @Test
    void interruptedPlanResumes() throws Exception {
        ExperimentPlan plan = ExperimentPlan.read(folder.resolve("p.yaml"));
        Path table = folder.resolve("results.csv");
        List<ExperimentRunner.Row> rows = ExperimentRunner.run(plan, table, 2);
        assertEquals(8, rows.size());
        String content = Files.readString(table);
        // The last line is incomplete, as after the process was killed.
        Files.writeString(table, content.substring(0, content.length() - 7));
        List<ExperimentRunner.Row> resumed = ExperimentRunner.run(plan, table, 2);
        assertEquals(
                rows.stream().map(ExperimentRunner.Row::digest).toList(),
                resumed.stream().map(ExperimentRunner.Row::digest).toList());
        assertEquals(9, Files.readAllLines(table).size());
        ReportPage.write(plan, rows, folder);
        assertTrue(Files.readString(folder.resolve("service.svg")).contains("<svg"));
    }

    @Test
    void intervalAroundZeroIsNotSignificant() {
        ReportPage.ConfidenceInterval noise =
                ReportPage.ConfidenceInterval.of(List.of(0.1, -0.1, 0.05, -0.04));
        ReportPage.ConfidenceInterval real =
                ReportPage.ConfidenceInterval.of(List.of(0.1, 0.11, 0.09, 0.1));
        assertFalse(noise.isSignificant());
        assertTrue(real.isSignificant());
        assertEquals(0.1, real.mean(), 1e-9);
        // The 97.5% quantile of the t distribution with 3 degrees of freedom is 3.182.
        assertEquals(3.182 * 0.00816 / 2, real.halfWidth(), 1e-4);
    }

    @Test
    void searchIsDeterministicAndItsScriptCanBeReadBack() throws Exception {
        TestScript script = TestScriptReader.read(folder.resolve("s.yaml"));
        FaultSearch.Candidate found = FaultSearch.run(script, 3, 6, 2);
        assertEquals(found, FaultSearch.run(script, 3, 6, 2));
        Files.writeString(folder.resolve("found.yaml"), FaultSearch.yaml(found.script()));
        assertEquals(
                found.script().faults(),
                TestScriptReader.read(folder.resolve("found.yaml")).faults());
    }

    @Test
    void invalidPlanNamesFileAndField() throws Exception {
        Path bad = folder.resolve("bad.yaml");
        Files.writeString(bad, "script: s.yaml\npolicies: [best]\n");
        assertTrue(
                assertThrows(
                                ExperimentPlan.InvalidPlanException.class,
                                () -> ExperimentPlan.read(bad))
                        .getMessage()
                        .contains("bad.yaml: policies: 'best'"));
        Files.writeString(bad, "script: s.yaml\nseed: [1\n");
        assertTrue(
                assertThrows(
                                ExperimentPlan.InvalidPlanException.class,
                                () -> ExperimentPlan.read(bad))
                        .getMessage()
                        .contains("bad.yaml:"));
    }
}
