package larchridge.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import larchridge.baseline.BaselinePolicy;
import larchridge.simulatedengine.EngineProfile;
import larchridge.simulation.SimulationRun;
import larchridge.systemtest.SystemTest;
import larchridge.systemtest.TestScript;

/**
 * Searches for the faults under which the routing policy performs worst: those that break a rule,
 * else those under which a baseline policy outperforms it most. A bounded random search mutates the
 * worst scripts found so far; the result is then minimized by removing faults and engines and
 * shortening faults where the script stays nearly as bad. The same seed gives the same result.
 */
public final class FaultSearch {
    private static final List<String> FAULT_KINDS =
            List.of(
                    "crash",
                    "pause",
                    "slow",
                    "lost",
                    "full",
                    "faulty",
                    "broken",
                    "forgetful",
                    "flush",
                    "stall",
                    "drain",
                    "remove",
                    "burst");
    private static final int MAX_FAULTS = 5;

    /** How many of the worst scripts found so far are mutated further. */
    private static final int MAX_CANDIDATES = 4;

    /** The severity that a script must keep while it is minimized, as a share of the original's. */
    private static final double MIN_SHRUNK_SEVERITY = 0.8;

    private static final double VIOLATION_SEVERITY = 10;
    private static final List<BaselinePolicy.Kind> BASELINES =
            List.of(BaselinePolicy.Kind.LEAST_OPEN, BaselinePolicy.Kind.PREFIX_HASH);

    /**
     * A script and how badly the routing policy performs under it.
     *
     * @param severity {@value #VIOLATION_SEVERITY} plus the number of violations if rules were
     *     broken, else by how much the best baseline's service exceeds the routing policy's
     * @param service the routing policy's service
     * @param breaches the number of rule violations
     */
    public record Candidate(TestScript script, double severity, double service, int breaches) {}

    private final TestScript base;
    private final Random random;
    private final List<EngineProfile> profiles;
    private final ExecutorService executor;

    private FaultSearch(TestScript base, long seed, int parallelism) {
        this.base = base;
        random = new Random(seed);
        profiles = SystemTest.profiles(base);
        executor = Executors.newFixedThreadPool(parallelism);
    }

    /** Evaluates this many scripts, then minimizes the worst. */
    public static Candidate run(TestScript base, long seed, int scriptCount, int parallelism)
            throws InterruptedException {
        FaultSearch search = new FaultSearch(base, seed, parallelism);
        try {
            return search.shrink(search.findWorst(scriptCount, parallelism));
        } finally {
            search.executor.shutdownNow();
        }
    }

    private Candidate findWorst(int scriptCount, int batchSize) throws InterruptedException {
        List<Candidate> worst = new ArrayList<>();
        for (int done = 0; done < scriptCount; done += batchSize) {
            List<TestScript> scripts = new ArrayList<>();
            for (int i = 0; i < batchSize; i++) {
                boolean startAnew = worst.isEmpty() || random.nextInt(3) == 0;
                scripts.add(
                        startAnew
                                ? scriptWithFaults(randomFaults())
                                : scriptWithFaults(
                                        mutateOneFault(
                                                worst.get(random.nextInt(worst.size()))
                                                        .script
                                                        .faults())));
            }
            worst.addAll(evaluateAll(scripts));
            // The sort is stable: equal severities keep their order, so a seed gives one result.
            worst.sort(Comparator.comparingDouble(Candidate::severity).reversed());
            worst = new ArrayList<>(worst.subList(0, Math.min(MAX_CANDIDATES, worst.size())));
        }
        return worst.get(0);
    }

    private TestScript scriptWithFaults(List<TestScript.Trouble> faults) {
        return base.withFaults(
                faults.stream()
                        .sorted(Comparator.comparingDouble(TestScript.Trouble::atMs))
                        .toList());
    }

    private List<TestScript.Trouble> randomFaults() {
        List<TestScript.Trouble> faults = new ArrayList<>();
        for (int i = 1 + random.nextInt(MAX_FAULTS); i > 0; i--) {
            faults.add(randomFault());
        }
        return faults;
    }

    private List<TestScript.Trouble> mutateOneFault(List<TestScript.Trouble> before) {
        List<TestScript.Trouble> faults = new ArrayList<>(before);
        if (faults.size() < MAX_FAULTS && random.nextBoolean()) {
            faults.add(randomFault());
        } else {
            faults.set(random.nextInt(faults.size()), randomFault());
        }
        return faults;
    }

    private TestScript.Trouble randomFault() {
        String kind = FAULT_KINDS.get(random.nextInt(FAULT_KINDS.size()));
        double atMs = Math.round(base.durationMs() * (0.1 + 0.6 * random.nextDouble()));
        double durationMs = Math.round(base.durationMs() * (0.03 + 0.3 * random.nextDouble()));
        double size =
                switch (kind) {
                    case "slow" -> 2 + random.nextInt(20);
                    case "stall" -> 1 + random.nextInt(20);
                    case "burst" -> 1.5 + random.nextInt(4) * 0.5;
                    default -> 0.2 + 0.8 * random.nextDouble();
                };
        return new TestScript.Trouble(
                atMs, durationMs, kind, kind.equals("burst") ? List.of() : randomEngines(), size);
    }

    /**
     * Picks engines that fail together: a random subset, a rack, or all engines of one role in a
     * zone; at most half of all engines.
     */
    private List<Long> randomEngines() {
        EngineProfile first = profiles.get(random.nextInt(profiles.size()));
        int selection = random.nextInt(3);
        TreeSet<Long> ids = new TreeSet<>();
        ids.add(first.id());
        int maxEngines = Math.max(1, profiles.size() / 2);
        for (EngineProfile profile : profiles) {
            boolean selected =
                    selection == 0
                            ? random.nextInt(6) == 0
                            : selection == 1
                                    ? profile.zone().equals(first.zone())
                                            && profile.rack() == first.rack()
                                    : profile.zone().equals(first.zone())
                                            && profile.role() == first.role();
            if (selected && ids.size() < maxEngines) {
                ids.add(profile.id());
            }
        }
        return List.copyOf(ids);
    }

    private List<Candidate> evaluateAll(List<TestScript> scripts) throws InterruptedException {
        List<Future<Candidate>> running = new ArrayList<>();
        for (TestScript script : scripts) {
            running.add(executor.submit((Callable<Candidate>) () -> evaluate(script)));
        }
        List<Candidate> candidates = new ArrayList<>();
        for (Future<Candidate> evaluation : running) {
            try {
                candidates.add(evaluation.get());
            } catch (ExecutionException e) {
                throw new IllegalStateException("a simulation run failed", e.getCause());
            }
        }
        return candidates;
    }

    /**
     * Runs a script with the routing policy and, if it breaks no rule, with the baseline policies.
     */
    static Candidate evaluate(TestScript script) {
        SimulationRun.Result result = SimulationRun.simulate(script);
        double service = result.overall().service();
        if (!result.breaches().isEmpty()) {
            return new Candidate(
                    script,
                    VIOLATION_SEVERITY + result.breaches().size(),
                    service,
                    result.breaches().size());
        }
        double bestBaseline = 0;
        for (BaselinePolicy.Kind kind : BASELINES) {
            bestBaseline =
                    Math.max(
                            bestBaseline,
                            SimulationRun.simulate(
                                            script,
                                            (settings, actions) ->
                                                    new BaselinePolicy(kind, settings, actions))
                                    .overall()
                                    .service());
        }
        return new Candidate(script, bestBaseline - service, service, 0);
    }

    /** Removes and shortens faults as long as the script stays nearly as bad. */
    private Candidate shrink(Candidate original) throws InterruptedException {
        Candidate smallest = original;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            List<TestScript> variants = new ArrayList<>();
            List<TestScript.Trouble> faults = smallest.script.faults();
            for (int i = 0; i < faults.size(); i++) {
                TestScript.Trouble fault = faults.get(i);
                if (faults.size() > 1) {
                    variants.add(scriptWithFaults(replaceOrRemoveFault(faults, i, null)));
                }
                for (Long engine : fault.engines().size() > 1 ? fault.engines() : List.<Long>of()) {
                    variants.add(
                            scriptWithFaults(
                                    replaceOrRemoveFault(
                                            faults,
                                            i,
                                            new TestScript.Trouble(
                                                    fault.atMs(),
                                                    fault.forMs(),
                                                    fault.kind(),
                                                    fault.engines().stream()
                                                            .filter(id -> !id.equals(engine))
                                                            .toList(),
                                                    fault.size()))));
                }
                if (fault.forMs() > 400) {
                    variants.add(
                            scriptWithFaults(
                                    replaceOrRemoveFault(
                                            faults,
                                            i,
                                            new TestScript.Trouble(
                                                    fault.atMs(),
                                                    Math.round(fault.forMs() / 2),
                                                    fault.kind(),
                                                    fault.engines(),
                                                    fault.size()))));
                }
            }
            for (Candidate candidate : evaluateAll(variants)) {
                if (candidate.severity >= MIN_SHRUNK_SEVERITY * original.severity
                        && candidate.severity > 0) {
                    smallest = candidate;
                    smaller = true;
                    break;
                }
            }
        }
        return smallest;
    }

    /** Returns a copy with one fault replaced, or removed if the replacement is null. */
    private static List<TestScript.Trouble> replaceOrRemoveFault(
            List<TestScript.Trouble> faults, int index, TestScript.Trouble replacement) {
        List<TestScript.Trouble> changed = new ArrayList<>(faults);
        if (replacement == null) {
            changed.remove(index);
        } else {
            changed.set(index, replacement);
        }
        return changed;
    }

    /** Returns a script as YAML that can be read back. */
    public static String yaml(TestScript script) throws IOException {
        return new ObjectMapper(
                        new YAMLFactory().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER))
                .writeValueAsString(script);
    }
}
