package larchridge.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import larchridge.baseline.BaselinePolicy;
import larchridge.emulator.EngineModel;
import larchridge.systemtest.RuleChecker;
import larchridge.systemtest.TestScript;
import larchridge.systemtest.TestScriptReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs system test scripts in virtual time and checks the rules, determinism and service. */
class SimulationRunTest {
    private static TestScript badDay() throws Exception {
        return TestScriptReader.read(Path.of("deploy/bad-day.yaml"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rulesHoldAndRunsAreDeterministic(long seed) throws Exception {
        SimulationRun.Result first = SimulationRun.simulate(badDay().withSeed(seed));
        System.out.println(
                "seed "
                        + seed
                        + ": service "
                        + first.overall().service()
                        + ", digest "
                        + first.digest());
        assertEquals(List.of(), first.breaches());
        assertTrue(first.overall().requests >= 2000);
        assertTrue(first.overall().service() > 0.6, "service " + first.overall().service());
        assertEquals(first.digest(), SimulationRun.simulate(badDay().withSeed(seed)).digest());
        assertNotEquals(
                first.digest(), SimulationRun.simulate(badDay().withSeed(seed + 10)).digest());
    }

    /**
     * Scripts found by {@link larchridge.experiment.FaultSearch}: the routing policy serves less
     * than a baseline policy there, but must break no rule.
     */
    @ParameterizedTest
    @ValueSource(strings = {"full-pools", "faulty-writers", "forgetful-readers"})
    void searchedScriptsBreakNoRule(String name) throws Exception {
        SimulationRun.Result result =
                SimulationRun.simulate(
                        TestScriptReader.read(Path.of("deploy/searched/" + name + ".yaml")));
        assertEquals(List.of(), result.breaches());
        assertTrue(result.overall().service() > 0.6, "service " + result.overall().service());
    }

    @Test
    void readAndCachedTokensDoNotExceedSubmitted() throws Exception {
        SimulationRun.Result result = SimulationRun.simulate(badDay());
        for (EngineModel.Totals totals : result.engineTotals()) {
            // Each submitted prompt is cached or read. Preemptions read prompts again, and
            // cancelled attempts may leave prompts unread.
            assertTrue(totals.promptTokensRead() + totals.promptTokensCached() >= 0);
            assertTrue(
                    totals.preemptions() > 0
                            || totals.promptTokensRead() + totals.promptTokensCached()
                                    <= totals.promptTokensSubmitted(),
                    totals.toString());
        }
    }

    @Test
    void serviceSurvivesStallUnderLoad() throws Exception {
        TestScript script =
                TestScriptReader.read(
                        "script",
                        """
                seed: 5
                fronts: 6
                duration_ms: 12000
                rate_per_s: 150
                engines:
                  - {role: reader, count: 4}
                  - {role: writer, count: 4}
                products:
                  - {name: consulta, slo_ms: 600, time_limit_ms: 2500, prompt_tokens: 300, output_tokens: 16}
                clients: {retries: 1, retry_ms: 100}
                troubles:
                  - {at_ms: 3000, for_ms: 5000, kind: stall, engines: [5], size: 6}
                """);
        SimulationRun.Result result = SimulationRun.simulate(script);
        assertEquals(List.of(), result.breaches());
        assertTrue(result.overall().service() > 0.9, "service " + result.overall().service());
    }

    /**
     * Baseline policies must give every request its one final answer, or comparisons with them
     * would be meaningless.
     */
    @ParameterizedTest
    @EnumSource(BaselinePolicy.Kind.class)
    void baselinePoliciesAnswerEveryRequest(BaselinePolicy.Kind kind) throws Exception {
        SimulationRun.Result result =
                SimulationRun.simulate(
                        badDay(),
                        (settings, actions) -> new BaselinePolicy(kind, settings, actions));
        List<RuleChecker.Violation> unanswered =
                result.breaches().stream().filter(breach -> breach.rule() == 1).toList();
        assertEquals(List.of(), unanswered);
    }
}
