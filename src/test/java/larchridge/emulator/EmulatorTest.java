package larchridge.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The emulated engine: memory, batches, preemption, and whether it answers load as engines do. */
class EmulatorTest {
    private static final EngineHardware SILICON =
            new EngineHardware(
                    2, 0.02, 0.05, 0.00002, 0, 16, 2000, 512, 32, 1000, 5000, 1, 0, false);

    private static Prompt prompt(long text, int tokens) {
        return Prompt.of(new long[] {text}, new int[] {tokens}, 16);
    }

    /** One engine, stepped to the end of its work, with what it told. */
    private static final class Bench implements EngineModel.Ears {
        final List<String> told = new ArrayList<>();
        final EngineModel model;
        final List<Job> done = new ArrayList<>();
        double now;
        private int numbers;

        Bench(EngineHardware silicon) {
            model = new EngineModel(silicon, Double.NEGATIVE_INFINITY, this);
        }

        Job submit(Job.Kind kind, Prompt prompt, int length) {
            Job job = new Job("r" + numbers++, kind, prompt, length);
            assertTrue(model.submit(job));
            return job;
        }

        boolean step() {
            double ms = model.begin(now);
            if (Double.isNaN(ms)) {
                return false;
            }
            now += ms;
            model.end(now);
            return true;
        }

        void run() {
            int steps = 0;
            while (step()) {
                assertTrue(++steps < 1_000_000, "does not end");
            }
        }

        @Override
        public void read(Job job) {
            told.add("read");
        }

        @Override
        public void fetch(Job job) {
            told.add("fetch");
            model.fetched(job);
        }

        @Override
        public void token(Job job) {
            told.add("token");
        }

        @Override
        public void done(Job job) {
            done.add(job);
        }

        @Override
        public void lost(Job job) {
            told.add("lost");
        }
    }

    @Test
    void beginningsThatWereReadAreFoundAndTheOldestUnusedGoes() {
        Bench bench = new Bench(SILICON.withBlocks(100));
        bench.submit(Job.Kind.BOTH, prompt(1, 800), 1);
        bench.run();
        Job again =
                bench.submit(
                        Job.Kind.BOTH, Prompt.of(new long[] {1, 2}, new int[] {640, 100}, 16), 1);
        bench.run();
        assertEquals(640, again.kept());
        // Another text takes the room of what was unused for longest.
        bench.submit(Job.Kind.BOTH, prompt(3, 1500), 1);
        bench.run();
        assertTrue(bench.model.sums().evictions() > 0);
        Job late = bench.submit(Job.Kind.BOTH, prompt(1, 800), 1);
        bench.run();
        assertTrue(late.kept() < 640, "kept " + late.kept());
    }

    @Test
    void longPromptIsReadInChunksBesideAnswers() {
        Bench bench = new Bench(SILICON);
        Job answer = bench.submit(Job.Kind.BOTH, prompt(1, 16), 50);
        bench.step();
        Job log = bench.submit(Job.Kind.READ, prompt(2, 5000), 1);
        for (int i = 0; i < 5; i++) {
            bench.step();
        }
        assertEquals(6, answer.made());
        assertFalse(bench.model.holds(log.rid));
        bench.run();
        assertTrue(bench.model.holds(log.rid));
    }

    @Test
    void newestGoesBackWhenMemoryRunsOutAndStillAnswersWhole() {
        Bench bench = new Bench(SILICON.withBlocks(60));
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            jobs.add(bench.submit(Job.Kind.BOTH, prompt(i, 160), 200));
        }
        bench.run();
        assertEquals(4, bench.done.size());
        jobs.forEach(job -> assertEquals(200, job.made()));
        assertTrue(bench.model.sums().preemptions() > 0);
        assertEquals(800, bench.model.sums().tokensOut());
        assertEquals(0, bench.model.heldShare());
    }

    @Test
    void stateWaitsUntilItIsLetGoOfOrLapses() {
        Bench bench = new Bench(SILICON);
        Job one = bench.submit(Job.Kind.READ, prompt(1, 100), 1);
        Job other = bench.submit(Job.Kind.READ, prompt(2, 100), 1);
        bench.run();
        assertTrue(bench.model.heldShare() > 0);
        assertTrue(bench.model.release(one.rid));
        assertFalse(bench.model.release(one.rid));
        assertEquals(Double.POSITIVE_INFINITY, bench.model.lapse(bench.now + 6000));
        assertFalse(bench.model.holds(other.rid));
        assertEquals(0, bench.model.heldShare());
    }

    @Test
    void stallComesOnlyAboveItsNumber() {
        double[] ms = new double[2];
        for (int i = 0; i < 2; i++) {
            Bench bench = new Bench(SILICON);
            bench.model.ails(1, 10, 20);
            for (int j = 0; j < (i == 0 ? 10 : 11); j++) {
                bench.submit(Job.Kind.BOTH, prompt(j, 16), 10);
            }
            bench.step();
            ms[i] = bench.model.begin(bench.now);
        }
        assertTrue(ms[1] > 15 * ms[0], ms[0] + " and " + ms[1]);
    }

    @Test
    void linksAreSharedEvenlyAndTheSlowestCounts() {
        SharedLinks links = new SharedLinks();
        List<String> come = new ArrayList<>();
        SharedLinks.Link fast = links.link("fast", 100);
        SharedLinks.Link slow = links.link("slow", 10);
        links.begin(0, 1000, List.of(fast), () -> come.add("fast"));
        links.begin(0, 100, List.of(fast, slow), () -> come.add("slow"));
        // Half of the fast one is 50; the slow one lets only 10 through.
        assertEquals(10, links.nextMs(), 1e-6);
        links.advance(10);
        assertEquals(List.of("slow"), come);
        assertEquals(15, links.nextMs(), 1e-6);
        links.advance(15);
        assertEquals(List.of("slow", "fast"), come);
    }

    /**
     * Any row of attempts, some called off in between: memory comes back whole, and every answer
     * that was not called off is.
     */
    @Property(tries = 60, seed = "20261201")
    void memoryComesBackWhole(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 5000) Integer> lengths,
            @ForAll long seed) {
        Random random = new Random(seed);
        Bench bench = new Bench(SILICON.withBlocks(400));
        List<Job> answers = new ArrayList<>();
        for (int length : lengths) {
            @SuppressWarnings("EnumOrdinal") // One of the three kinds by chance.
            Job.Kind kind = Job.Kind.values()[random.nextInt(3)];
            Job job =
                    bench.submit(
                            kind, prompt(random.nextInt(6), 1 + length), 1 + random.nextInt(60));
            for (int i = random.nextInt(4); i > 0; i--) {
                bench.step();
            }
            if (random.nextInt(5) == 0) {
                bench.model.drop(job);
            } else if (kind != Job.Kind.READ) {
                answers.add(job);
            }
        }
        bench.run();
        // States that wait hold memory that others wait for; once they are let go of, all comes to
        // its end.
        for (int i = 0; i < 50; i++) {
            bench.model.lapse(bench.now + 1e9);
            bench.run();
        }
        answers.forEach(job -> assertEquals(job.length, job.made()));
        bench.model.lapse(bench.now + 1e9);
        assertEquals(0, bench.model.heldShare());
        assertEquals(0, bench.model.inflight());
    }

    // ------------------------------------------------------------------ sense

    /** What one engine did of an open-loop load. */
    private record Load(
            double perS,
            double firstTokenMs,
            double tokenMs,
            double inMean,
            double awayMean,
            long evictions) {}

    private static Load load(
            EngineHardware silicon,
            double perS,
            int promptTokens,
            int length,
            int texts,
            long seed) {
        Random random = new Random(seed);
        Bench bench = new Bench(silicon);
        PriorityQueue<double[]> arrivals =
                new PriorityQueue<>(Comparator.comparingDouble(a -> a[0]));
        double at = 0;
        double end = 60_000;
        while (at < end) {
            at += -Math.log(1 - random.nextDouble()) * 1000 / perS;
            arrivals.add(new double[] {at, random.nextInt(texts)});
        }
        List<Job> here = new ArrayList<>();
        List<Double> came = new ArrayList<>();
        List<Double> first = new ArrayList<>();
        double firstSum = 0;
        double tokenSum = 0;
        double awaySum = 0;
        double inSum = 0;
        int doneCount = 0;
        while (!arrivals.isEmpty() || !here.isEmpty()) {
            while (!arrivals.isEmpty() && arrivals.peek()[0] <= bench.now) {
                double[] one = arrivals.poll();
                Job job =
                        new Job(
                                "j" + one[0],
                                Job.Kind.BOTH,
                                Prompt.of(
                                        new long[] {(long) one[1], (long) (1e6 + one[0] * 1000)},
                                        new int[] {promptTokens / 2, promptTokens / 2},
                                        16),
                                length);
                if (bench.model.submit(job)) {
                    here.add(job);
                    came.add(one[0]);
                    first.add(0.0);
                }
            }
            double before = bench.now;
            int in = here.size();
            if (!bench.step()) {
                bench.now = arrivals.peek()[0];
            }
            inSum += in * (bench.now - before);
            for (int i = here.size() - 1; i >= 0; i--) {
                if (first.get(i) == 0 && here.get(i).made() > 0) {
                    first.set(i, bench.now);
                }
                if (here.get(i).made() >= length) {
                    firstSum += first.get(i) - came.get(i);
                    tokenSum += (bench.now - first.get(i)) / (length - 1);
                    awaySum += bench.now - Math.max(came.get(i), 0);
                    doneCount++;
                    here.remove(i);
                    came.remove(i);
                    first.remove(i);
                }
            }
        }
        return new Load(
                doneCount / bench.now * 1000,
                firstSum / doneCount,
                tokenSum / doneCount,
                inSum / bench.now,
                awaySum / doneCount,
                bench.model.sums().evictions());
    }

    @Test
    void throughputSaturatesAndWaitsTurnUpAtTheKnee() {
        Load calm = load(SILICON, 10, 800, 40, 4, 1);
        Load busy = load(SILICON, 30, 800, 40, 4, 1);
        Load over = load(SILICON, 150, 800, 40, 4, 1);
        Load more = load(SILICON, 300, 800, 40, 4, 1);
        System.out.println(
                "by load (simulated): " + calm + "\n" + busy + "\n" + over + "\n" + more);
        assertEquals(10, calm.perS, 1.5);
        assertEquals(30, busy.perS, 3);
        assertTrue(more.perS < 1.15 * over.perS, "goes on growing");
        assertTrue(over.firstTokenMs > 10 * calm.firstTokenMs, "no knee");
    }

    @Test
    void littlesLawHolds() {
        Load busy = load(SILICON, 40, 800, 40, 4, 2);
        assertEquals(busy.inMean, busy.perS / 1000 * busy.awayMean, 0.03 * busy.inMean);
    }

    @Test
    void evictionsBeginWhenTheWorkingSetPassesMemory() {
        long few = load(SILICON.withBlocks(4000), 10, 1600, 10, 8, 3).evictions;
        long many = load(SILICON.withBlocks(4000), 10, 1600, 10, 400, 3).evictions;
        assertTrue(many > few, few + " and " + many);
    }

    @Test
    void smallerChunksMakeTokensSteadierAndFirstOnesLater() {
        Load large = load(SILICON.withBatchTokens(8192), 8, 8000, 60, 1000, 4);
        Load small = load(SILICON.withBatchTokens(256), 8, 8000, 60, 1000, 4);
        System.out.println("chunks of 8192 and 256 (simulated): " + large + "\n" + small);
        assertTrue(small.firstTokenMs > large.firstTokenMs);
    }
}
