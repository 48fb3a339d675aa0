package larchridge.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs whole system tests with the real router and checks rules, batches, bills and fairness. */
class SystemTestRulesTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void badDayScriptBreaksNoRule(long seed) throws Exception {
        TestScript day = TestScriptReader.read(Path.of("deploy/bad-day.yaml"));
        TestScript seeded = day.withSeed(seed);
        SystemTest.Result result = SystemTest.runScript(seeded);
        System.out.println("seed " + seed + "\n" + ResultCounts.table(result.rows().subList(0, 7)));
        assertEquals(List.of(), result.violations());
        assertTrue(result.all().requests >= 2000, "only " + result.all().requests + " generations");
        assertTrue(result.all().service() > 0.6, "service " + result.all().service());
    }

    /**
     * Runs a batch on a service that is killed at store writes and at random times. Two kills per
     * seed here; hundreds are run manually with the {@code kills} command.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void everyBatchLineHasOneRecordAfterCrashes(long seed) throws Exception {
        CrashTest.Result result = CrashTest.play(seed, 1, 2);
        System.out.println("seed " + seed + ": " + result);
        assertEquals(List.of(), result.faults());
    }

    /** With routers as processes and one killed, tenants are billed what clients received. */
    @Test
    void billsMatchAnswersWhenARouterIsKilled() throws Exception {
        TestScript script =
                TestScriptReader.read(
                        "script",
                        """
                seed: 4
                fronts: 2
                processes: true
                duration_ms: 7000
                rate_per_s: 60
                engines:
                  - {role: reader, count: 3}
                  - {role: writer, count: 3}
                tenants:
                  - {name: rooms, share: 2}
                  - {name: visitors, share: 1, tokens_per_second: 3000, burst_tokens: 3000}
                products:
                  - {name: consulta, time_limit_ms: 2500, prompt_tokens: 200, output_tokens: 12}
                clients: {retries: 2, retry_ms: 100, leave_share: 0.05, whole_share: 0.3}
                troubles:
                  - {at_ms: 1500, for_ms: 1000, kind: broken, engines: [4, 5], size: 0.3}
                  - {at_ms: 3000, for_ms: 200, kind: kill_front, engines: [1]}
                  - {at_ms: 4000, for_ms: 1500, kind: crash, engines: [1, 6]}
                """);
        SystemTest.Result result = SystemTest.runScript(script);
        System.out.println(BillingChecker.table(result.billingRows()));
        assertEquals(List.of(), result.violations());
        assertTrue(result.billingRows().stream().mapToLong(row -> row.receivedTokens).sum() > 1000);
        for (BillingChecker.Row row : result.billingRows()) {
            assertEquals(row.receivedTokens, row.billedTokens, row.tenant);
            assertEquals(0, row.mismatched + row.disconnectedUnderbilled, row.tenant);
        }
    }

    /** A tenant that sends twenty times its share does not reduce the service of another tenant. */
    @Test
    void overloadByOneTenantDoesNotStarveAnother() throws Exception {
        double alone =
                serviceOfQuietTenant(
                        "- {name: quiet, share: 1, tokens_per_second: 6000, burst_tokens: 12000}",
                        10);
        double withStorm =
                serviceOfQuietTenant(
                        "- {name: quiet, share: 1, tokens_per_second: 6000, burst_tokens: 12000}\n"
                                + "  - {name: storm, share: 20, tokens_per_second: 6000, burst_tokens: 12000}",
                        210);
        System.out.println(
                "service of the quiet tenant: alone "
                        + alone
                        + ", with overload by another "
                        + withStorm);
        assertTrue(withStorm >= alone - 0.1, alone + " and " + withStorm);
    }

    private static double serviceOfQuietTenant(String tenants, int rate) throws Exception {
        SystemTest.Result result =
                SystemTest.runScript(
                        TestScriptReader.read(
                                "script",
                                """
                seed: 8
                duration_ms: 6000
                rate_per_s: %d
                engines:
                  - {role: reader, count: 2, speed: 0.35}
                  - {role: writer, count: 3}
                tenants:
                  %s
                products:
                  - {name: consulta, slo_ms: 600, time_limit_ms: 2500, prompt_tokens: 250, output_tokens: 16}
                """
                                        .formatted(rate, tenants)));
        assertEquals(List.of(), result.violations());
        return result.rows().stream()
                .filter(
                        row ->
                                row.name.equals("tenant quiet")
                                        || (rate == 10 && row.name.equals("all")))
                .findFirst()
                .orElseThrow()
                .service();
    }
}
