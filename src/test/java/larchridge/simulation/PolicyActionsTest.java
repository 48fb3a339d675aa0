package larchridge.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import larchridge.simulation.PolicyRecorder.Variant;
import larchridge.systemtest.TestScript;
import larchridge.systemtest.TestScriptReader;
import org.junit.jupiter.api.Test;

/**
 * Compares every event and action of the routing policy in seeded simulated runs with recorded
 * digests. A change of an action, of its time, of a random draw or of their order changes a digest;
 * the commit that intends such a change updates the digests. With {@code -Dpolicy.actions.dir=DIR}
 * the lines of each run are written to that directory for comparison.
 */
class PolicyActionsTest {
    /**
     * One run.
     *
     * @param script the name of a script in deploy/ or of a script in this class
     * @param seed the seed
     * @param variant the settings and events that differ from the script
     * @param lines the number of recorded lines
     * @param sha256 the digest of the lines
     */
    private record Run(String script, long seed, Variant variant, long lines, String sha256) {}

    /** Long prompts are read in one zone and answered in another, which saturates their link. */
    private static final String FULL_LINK =
            """
            seed: 1
            fronts: 3
            duration_ms: 5000
            rate_per_s: 330
            engines:
              - {role: reader, count: 24, zones: [west]}
              - {role: writer, count: 10, zones: [east]}
              - {role: writer, count: 1, zones: [west]}
              - {role: both, count: 1, zones: [west]}
            products:
              - {name: consulta, effect: IDEMPOTENT, slo_ms: 2500, time_limit_ms: 5000, prompt_tokens: 4000,
                 output_tokens: 12}
            clients: {retries: 1, retry_ms: 100}
            """;

    /**
     * All engines are slow at once under low load, so that every estimate exceeds its deadline and
     * nothing is sent.
     */
    private static final String ALL_SLOW =
            """
            seed: 1
            fronts: 2
            duration_ms: 14000
            rate_per_s: 25
            engines:
              - {role: reader, count: 1}
              - {role: writer, count: 1}
            products:
              - {name: consulta, effect: IDEMPOTENT, slo_ms: 600, time_limit_ms: 2500, prompt_tokens: 4000,
                 output_tokens: 8}
            troubles:
              - {at_ms: 1000, for_ms: 5000, kind: slow, engines: [1, 2], size: 60}
            """;

    private static final Run[] RUNS = {
        new Run(
                "full-link",
                1,
                Variant.AS_SCRIPTED,
                11597,
                "cc39f54f9db2cb4821ba724781daf974dab73b6082e00652fcbf1233160c9392"),
        new Run(
                "all-slow",
                1,
                Variant.AS_SCRIPTED,
                4096,
                "39a4f018e8e0310b45739bc37491eb903a597bee9b74f589eed6801d3ea29081"),
        new Run(
                "bad-day",
                1,
                Variant.AS_SCRIPTED,
                20913,
                "6a6bad080c52fbf4039e4b8225749d9fb8104c608faf1101aa3391623f6171cb"),
        new Run(
                "bad-day",
                2,
                Variant.AS_SCRIPTED,
                20828,
                "7688319ce442d6eb9851f84b778a660e5f0870dc1566f8b1bdc1c7770eb8bfcc"),
        new Run(
                "bad-day+probes",
                4,
                Variant.AS_SCRIPTED,
                21853,
                "97a42b41933b6ee1273bb911b4e6542b73d297ff40a17059cbd21b57377a83c3"),
        new Run(
                "bad-day",
                5,
                Variant.NO_REPORTS,
                21346,
                "34a70d21b22e953767c8b865ae62af16b90580a435094cb32c1f2937e205e3b2"),
        new Run(
                "bad-day",
                6,
                Variant.NO_CANCELLING,
                20738,
                "0a392af9c73a85085333968943810f0791170a28552add72ad55fac3dbe87aed"),
        new Run(
                "bad-day",
                7,
                Variant.NO_HEDGING,
                21031,
                "55621605fada1374233f31e7fdda75c1e93a2677b0e8cb7f8a31d47ec001b319"),
        new Run(
                "bad-day",
                8,
                Variant.WRITERS_READ,
                20826,
                "14fb6e49f528947227d380b3cb8d2bfcb6a07ececb857c4e8aa0c9e80a87af41"),
        new Run(
                "bad-day",
                9,
                Variant.INJECTED_EVENTS,
                20875,
                "06e16826c5c70211c1439503c21f91eb118bddf3d5cbdf20bae0fe86458b7105"),
        new Run(
                "bad-day+large",
                10,
                Variant.AS_SCRIPTED,
                46191,
                "5aa0d3308bb45fef9e10c3be074052985d5e7aa5ca84af5c86f9ccb3075a38a2"),
        new Run(
                "storm-of-one",
                1,
                Variant.AS_SCRIPTED,
                5874,
                "9cdb12af748a3cbc87dcd35ea3341a56713aefded371e63ae5de7f0d0af5a507"),
        new Run(
                "batch-storm",
                1,
                Variant.AS_SCRIPTED,
                19334,
                "c9857400548c0678abd6e97ade1a02b89da7932ce3cdd9d7053cae605ed5c991"),
        new Run(
                "searched/full-pools",
                1,
                Variant.AS_SCRIPTED,
                15553,
                "6d522efb843b02cb72c9c9987d1e9f63d4fb7ca31e0cf268ecce0077e7284646"),
        new Run(
                "searched/faulty-writers",
                1,
                Variant.AS_SCRIPTED,
                15490,
                "c83ad7fae20cbb86aa648732a63cdd09328397e29bc20d7df3254a6012c5e291"),
        new Run(
                "searched/forgetful-readers",
                1,
                Variant.AS_SCRIPTED,
                22285,
                "056aa4eda4b01910e5789ab91b3bb82591038f6d69e2649eb95e818a1a989441"),
    };

    @Test
    void everyActionOfSeededRunsIsAsRecorded() throws Exception {
        StringBuilder expected = new StringBuilder();
        StringBuilder actual = new StringBuilder();
        Map<String, Integer> kinds = new TreeMap<>();
        for (Run run : RUNS) {
            PolicyRecorder recorder = simulate(run);
            recorder.counts().forEach((kind, count) -> kinds.merge(kind, count, Integer::sum));
            String name = run.script + " " + run.seed + " " + run.variant + " ";
            expected.append(name).append(run.lines).append(' ').append(run.sha256).append('\n');
            actual.append(name)
                    .append(recorder.lines())
                    .append(' ')
                    .append(recorder.sha256())
                    .append('\n');
        }
        System.out.println("lines by kind: " + kinds);
        assertEquals(expected.toString(), actual.toString());
        assertEquals(
                new TreeSet<>(
                        Set.of(
                                "in:arrived",
                                "in:begun",
                                "in:departed",
                                "in:ended",
                                "in:entry",
                                "in:list-failed",
                                "in:listed",
                                "in:probed",
                                "in:read-done",
                                "in:state-released",
                                "in:woken",
                                "out:cancel",
                                "out:follow-list",
                                "out:log",
                                "out:probe",
                                "out:release",
                                "out:send",
                                "out:sent-to-cold",
                                "out:terminate",
                                "out:throttle",
                                "out:wake")),
                new TreeSet<>(kinds.keySet()),
                "kinds of events and actions that occurred");
    }

    private static PolicyRecorder simulate(Run run) throws Exception {
        String directory = System.getProperty("policy.actions.dir");
        PolicyRecorder recorder = new PolicyRecorder(run.variant, directory != null);
        SimulationRun.simulate(script(run), recorder);
        if (directory != null) {
            String file =
                    (run.script + "-" + run.seed + "-" + run.variant).replace('/', '-') + ".txt";
            Files.writeString(Path.of(directory, file), recorder.text());
        }
        return recorder;
    }

    private static TestScript script(Run run) throws Exception {
        if (run.script.equals("full-link")) {
            return TestScriptReader.read(run.script, FULL_LINK).withSeed(run.seed);
        }
        if (run.script.equals("all-slow")) {
            return TestScriptReader.read(run.script, ALL_SLOW).withSeed(run.seed);
        }
        String[] parts = run.script.split("\\+");
        Path file = Path.of("deploy/" + parts[0] + ".yaml");
        TestScript script = TestScriptReader.read(file);
        if (parts.length > 1 && parts[1].equals("probes")) {
            script =
                    TestScriptReader.read(
                            parts[0],
                            Files.readString(file).replace("fronts: 3", "fronts: 3\nprobes: true"));
        } else if (parts.length > 1) {
            // With many routers and engines, each router sees only a small part of the load.
            script = script.scaled(2, 2, 8);
        }
        return script.withSeed(run.seed);
    }
}
