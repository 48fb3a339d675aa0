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
 * Looks for the troubles under which the module does worst: those that break a rule, else those
 * under which a plain policy serves most more than it does. A bounded random search that goes on
 * from the worst so far, then makes it small: every trouble, engine and length that is not needed
 * goes. From a seed; the same seed finds the same.
 */
public final class FaultSearch {
    private static final List<String> KINDS =
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
    private static final int MOST_TROUBLES = 5;
    private static final int KEPT = 4;
    private static final double KEEPS = 0.8;
    private static final double BREACH = 10;
    private static final List<BaselinePolicy.Kind> BESIDE =
            List.of(BaselinePolicy.Kind.LEAST_OPEN, BaselinePolicy.Kind.PREFIX_HASH);

    /**
     * A script with how bad it is: {@value #BREACH} and more for a broken rule, else what a plain
     * policy serves more.
     */
    public record Found(TestScript script, double badness, double service, int breaches) {}

    private final TestScript base;
    private final Random random;
    private final List<EngineProfile> makes;
    private final ExecutorService threads;

    private FaultSearch(TestScript base, long seed, int sideBySide) {
        this.base = base;
        random = new Random(seed);
        makes = SystemTest.makes(base);
        threads = Executors.newFixedThreadPool(sideBySide);
    }

    /** Tries so many scripts, then shrinks the worst. */
    public static Found run(TestScript base, long seed, int tries, int sideBySide)
            throws InterruptedException {
        FaultSearch search = new FaultSearch(base, seed, sideBySide);
        try {
            return search.shrink(search.worst(tries, sideBySide));
        } finally {
            search.threads.shutdownNow();
        }
    }

    private Found worst(int tries, int atATime) throws InterruptedException {
        List<Found> best = new ArrayList<>();
        for (int done = 0; done < tries; done += atATime) {
            List<TestScript> next = new ArrayList<>();
            for (int i = 0; i < atATime; i++) {
                boolean fresh = best.isEmpty() || random.nextInt(3) == 0;
                next.add(
                        fresh
                                ? with(fresh())
                                : with(
                                        changed(
                                                best.get(random.nextInt(best.size()))
                                                        .script
                                                        .troubles())));
            }
            best.addAll(all(next));
            // Ties by the order found: the same seed finds the same.
            best.sort(Comparator.comparingDouble(Found::badness).reversed());
            best = new ArrayList<>(best.subList(0, Math.min(KEPT, best.size())));
        }
        return best.get(0);
    }

    private TestScript with(List<TestScript.Trouble> troubles) {
        return base.withTroubles(
                troubles.stream()
                        .sorted(Comparator.comparingDouble(TestScript.Trouble::atMs))
                        .toList());
    }

    private List<TestScript.Trouble> fresh() {
        List<TestScript.Trouble> troubles = new ArrayList<>();
        for (int i = 1 + random.nextInt(MOST_TROUBLES); i > 0; i--) {
            troubles.add(trouble());
        }
        return troubles;
    }

    private List<TestScript.Trouble> changed(List<TestScript.Trouble> before) {
        List<TestScript.Trouble> troubles = new ArrayList<>(before);
        if (troubles.size() < MOST_TROUBLES && random.nextBoolean()) {
            troubles.add(trouble());
        } else {
            troubles.set(random.nextInt(troubles.size()), trouble());
        }
        return troubles;
    }

    private TestScript.Trouble trouble() {
        String kind = KINDS.get(random.nextInt(KINDS.size()));
        double at = Math.round(base.durationMs() * (0.1 + 0.6 * random.nextDouble()));
        double length = Math.round(base.durationMs() * (0.03 + 0.3 * random.nextDouble()));
        double size =
                switch (kind) {
                    case "slow" -> 2 + random.nextInt(20);
                    case "stall" -> 1 + random.nextInt(20);
                    case "burst" -> 1.5 + random.nextInt(4) * 0.5;
                    default -> 0.2 + 0.8 * random.nextDouble();
                };
        return new TestScript.Trouble(
                at, length, kind, kind.equals("burst") ? List.of() : some(), size);
    }

    /**
     * Engines that fail together: some by chance, or a rack, or all of one role in a zone; never
     * more than half.
     */
    private List<Long> some() {
        EngineProfile one = makes.get(random.nextInt(makes.size()));
        int how = random.nextInt(3);
        TreeSet<Long> ids = new TreeSet<>();
        ids.add(one.id());
        int most = Math.max(1, makes.size() / 2);
        for (EngineProfile make : makes) {
            boolean with =
                    how == 0
                            ? random.nextInt(6) == 0
                            : how == 1
                                    ? make.zone().equals(one.zone()) && make.rack() == one.rack()
                                    : make.zone().equals(one.zone()) && make.role() == one.role();
            if (with && ids.size() < most) {
                ids.add(make.id());
            }
        }
        return List.copyOf(ids);
    }

    private List<Found> all(List<TestScript> scripts) throws InterruptedException {
        List<Future<Found>> running = new ArrayList<>();
        for (TestScript script : scripts) {
            running.add(threads.submit((Callable<Found>) () -> judge(script)));
        }
        List<Found> found = new ArrayList<>();
        for (Future<Found> one : running) {
            try {
                found.add(one.get());
            } catch (ExecutionException e) {
                throw new IllegalStateException("a run failed", e.getCause());
            }
        }
        return found;
    }

    /**
     * Plays a script with the module, and where it breaks no rule with plain policies beside it.
     */
    static Found judge(TestScript script) {
        SimulationRun.Result ours = SimulationRun.play(script);
        double service = ours.all().service();
        if (!ours.breaches().isEmpty()) {
            return new Found(
                    script, BREACH + ours.breaches().size(), service, ours.breaches().size());
        }
        double other = 0;
        for (BaselinePolicy.Kind kind : BESIDE) {
            other =
                    Math.max(
                            other,
                            SimulationRun.play(
                                            script,
                                            (terms, host) -> new BaselinePolicy(kind, terms, host))
                                    .all()
                                    .service());
        }
        return new Found(script, other - service, service, 0);
    }

    /** Leaves out whatever can be left out while it stays nearly as bad. */
    private Found shrink(Found found) throws InterruptedException {
        Found least = found;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            List<TestScript> tries = new ArrayList<>();
            List<TestScript.Trouble> troubles = least.script.troubles();
            for (int i = 0; i < troubles.size(); i++) {
                TestScript.Trouble trouble = troubles.get(i);
                if (troubles.size() > 1) {
                    tries.add(with(changed(troubles, i, null)));
                }
                for (Long engine :
                        trouble.engines().size() > 1 ? trouble.engines() : List.<Long>of()) {
                    tries.add(
                            with(
                                    changed(
                                            troubles,
                                            i,
                                            new TestScript.Trouble(
                                                    trouble.atMs(),
                                                    trouble.forMs(),
                                                    trouble.kind(),
                                                    trouble.engines().stream()
                                                            .filter(id -> !id.equals(engine))
                                                            .toList(),
                                                    trouble.size()))));
                }
                if (trouble.forMs() > 400) {
                    tries.add(
                            with(
                                    changed(
                                            troubles,
                                            i,
                                            new TestScript.Trouble(
                                                    trouble.atMs(),
                                                    Math.round(trouble.forMs() / 2),
                                                    trouble.kind(),
                                                    trouble.engines(),
                                                    trouble.size()))));
                }
            }
            for (Found one : all(tries)) {
                if (one.badness >= KEEPS * found.badness && one.badness > 0) {
                    least = one;
                    smaller = true;
                    break;
                }
            }
        }
        return least;
    }

    private static List<TestScript.Trouble> changed(
            List<TestScript.Trouble> troubles, int at, TestScript.Trouble other) {
        List<TestScript.Trouble> all = new ArrayList<>(troubles);
        if (other == null) {
            all.remove(at);
        } else {
            all.set(at, other);
        }
        return all;
    }

    /** A script as a file that can be played again. */
    public static String yaml(TestScript script) throws IOException {
        return new ObjectMapper(
                        new YAMLFactory().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER))
                .writeValueAsString(script);
    }
}
