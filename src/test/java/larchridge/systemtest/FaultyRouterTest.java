package larchridge.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each rule is reported, over real sockets, for a router that breaks it, and no other rule. */
class FaultyRouterTest {
    private static final String SCRIPT =
            """
            seed: 5
            duration_ms: 1500
            rate_per_s: 60
            engines:
              - {role: reader, count: 2}
              - {role: writer, count: 2}
              - {role: both, count: 1}
            products:
              - {name: alta, effect: %s, time_limit_ms: 1200, prompt_tokens: 50, output_tokens: 6}
            troubles:
              - {at_ms: 500, for_ms: 900, kind: drain, engines: [1, 3]}
            """;

    private static String violatedRules(FaultyRouter.Fault fault, String effect) throws Exception {
        TestScript script = TestScriptReader.read("script", SCRIPT.formatted(effect));
        SystemTest.Result result =
                SystemTest.runScript(script, site -> new FaultyRouter(site, fault));
        return result.violations().stream()
                .map(violation -> Integer.toString(violation.rule()))
                .distinct()
                .sorted()
                .collect(Collectors.joining(","));
    }

    @ParameterizedTest
    @CsvSource({
        "NOTHING,IDEMPOTENT,''",
        "LOSES,IDEMPOTENT,1",
        "ANSWERS_TWICE,IDEMPOTENT,1",
        "TOO_LATE,IDEMPOTENT,1",
        "FORGETS_DRAINS,IDEMPOTENT,3",
        "PINS,IDEMPOTENT,5",
        "RUNS_TWICE,SIDE_EFFECTING,2",
        "THROTTLES_AFTER_RUN,SIDE_EFFECTING,2"
    })
    void faultyRouterIsDetected(FaultyRouter.Fault fault, String effect, String rules)
            throws Exception {
        assertEquals(rules, violatedRules(fault, effect));
    }

    @Test
    void overloadOfAColdEngineIsDetected() throws Exception {
        // A round-robin router sends a cold reader as much as a warm one.
        TestScript script =
                TestScriptReader.read(
                        "script",
                        """
                seed: 6
                duration_ms: 2600
                rate_per_s: 400
                list_lag_ms: 50
                engines:
                  - {role: reader, count: 2, speed: 0.08}
                  - {role: writer, count: 2}
                products:
                  - {name: alta, time_limit_ms: 1000, prompt_tokens: 100, output_tokens: 3}
                troubles:
                  - {at_ms: 300, for_ms: 300, kind: crash, engines: [1]}
                """);
        SystemTest.Result result =
                SystemTest.runScript(
                        script, site -> new FaultyRouter(site, FaultyRouter.Fault.NOTHING));
        assertTrue(
                result.violations().stream().anyMatch(violation -> violation.rule() == 4),
                result.violations().toString());
    }
}
