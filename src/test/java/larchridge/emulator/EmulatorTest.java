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

/**
 * Tests the emulated engine: memory, batching, preemption, state transfers, and whether throughput
 * and latency respond to load as those of real engines do.
 */
class EmulatorTest {
    private static final EngineHardware HARDWARE =
            new EngineHardware(
                    2, 0.02, 0.05, 0.00002, 0, 16, 2000, 512, 32, 1000, 5000, 1, 0, false);

    private static Prompt prompt(long segmentId, int tokens) {
        return Prompt.of(new long[] {segmentId}, new int[] {tokens}, 16);
    }

    /** Drives one engine step by step and records its events. */
    private static final class EngineDriver implements EngineModel.Listener {
        final List<String> events = new ArrayList<>();
        final EngineModel model;
        final List<Job> completed = new ArrayList<>();
        double nowMs;
        private int jobCount;

        EngineDriver(EngineHardware hardware) {
            model = new EngineModel(hardware, Double.NEGATIVE_INFINITY, this);
        }

        Job submit(Job.Kind kind, Prompt prompt, int answerTokens) {
            Job job = new Job("r" + jobCount++, kind, prompt, answerTokens);
            assertTrue(model.submit(job));
            return job;
        }

        boolean step() {
            double stepMs = model.beginStep(nowMs);
            if (Double.isNaN(stepMs)) {
                return false;
            }
            nowMs += stepMs;
            model.endStep(nowMs);
            return true;
        }

        void run() {
            int steps = 0;
            while (step()) {
                assertTrue(++steps < 1_000_000, "the engine is still busy after a million steps");
            }
        }

        @Override
        public void readCompleted(Job job) {
            events.add("read");
        }

        @Override
        public void fetchRequired(Job job) {
            events.add("fetch");
            model.stateFetched(job);
        }

        @Override
        public void tokenGenerated(Job job) {
            events.add("token");
        }

        @Override
        public void answerCompleted(Job job) {
            completed.add(job);
        }

        @Override
        public void stateLost(Job job) {
            events.add("lost");
        }
    }

    @Test
    void readPrefixesAreCachedAndLeastRecentlyUsedIsEvicted() {
        EngineDriver driver = new EngineDriver(HARDWARE.withBlocks(100));
        driver.submit(Job.Kind.BOTH, prompt(1, 800), 1);
        driver.run();
        Job samePrefix =
                driver.submit(
                        Job.Kind.BOTH, Prompt.of(new long[] {1, 2}, new int[] {640, 100}, 16), 1);
        driver.run();
        assertEquals(640, samePrefix.cachedTokens());
        // Another prompt needs memory, so that the least recently used blocks are evicted.
        driver.submit(Job.Kind.BOTH, prompt(3, 1500), 1);
        driver.run();
        assertTrue(driver.model.totals().evictions() > 0);
        Job afterEviction = driver.submit(Job.Kind.BOTH, prompt(1, 800), 1);
        driver.run();
        assertTrue(afterEviction.cachedTokens() < 640, "cached " + afterEviction.cachedTokens());
    }

    @Test
    void longPromptIsReadInChunksAlongsideAnswers() {
        EngineDriver driver = new EngineDriver(HARDWARE);
        Job answer = driver.submit(Job.Kind.BOTH, prompt(1, 16), 50);
        driver.step();
        Job longRead = driver.submit(Job.Kind.READ, prompt(2, 5000), 1);
        for (int i = 0; i < 5; i++) {
            driver.step();
        }
        assertEquals(6, answer.generatedTokens());
        assertFalse(driver.model.holdsState(longRead.attemptId));
        driver.run();
        assertTrue(driver.model.holdsState(longRead.attemptId));
    }

    @Test
    void newestAnswerIsPreemptedWhenMemoryIsFullAndStillCompletes() {
        EngineDriver driver = new EngineDriver(HARDWARE.withBlocks(60));
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            jobs.add(driver.submit(Job.Kind.BOTH, prompt(i, 160), 200));
        }
        driver.run();
        assertEquals(4, driver.completed.size());
        jobs.forEach(job -> assertEquals(200, job.generatedTokens()));
        assertTrue(driver.model.totals().preemptions() > 0);
        assertEquals(800, driver.model.totals().outputTokens());
        assertEquals(0, driver.model.memoryShare());
    }

    @Test
    void stateIsHeldUntilReleasedOrExpired() {
        EngineDriver driver = new EngineDriver(HARDWARE);
        Job first = driver.submit(Job.Kind.READ, prompt(1, 100), 1);
        Job second = driver.submit(Job.Kind.READ, prompt(2, 100), 1);
        driver.run();
        assertTrue(driver.model.memoryShare() > 0);
        assertTrue(driver.model.release(first.attemptId));
        assertFalse(driver.model.release(first.attemptId));
        assertEquals(
                Double.POSITIVE_INFINITY, driver.model.releaseExpiredStates(driver.nowMs + 6000));
        assertFalse(driver.model.holdsState(second.attemptId));
        assertEquals(0, driver.model.memoryShare());
    }

    @Test
    void stallAppliesOnlyAboveThreshold() {
        double[] stepMs = new double[2];
        for (int i = 0; i < 2; i++) {
            EngineDriver driver = new EngineDriver(HARDWARE);
            driver.model.injectSlowdown(1, 10, 20);
            for (int j = 0; j < (i == 0 ? 10 : 11); j++) {
                driver.submit(Job.Kind.BOTH, prompt(j, 16), 10);
            }
            driver.step();
            stepMs[i] = driver.model.beginStep(driver.nowMs);
        }
        assertTrue(stepMs[1] > 15 * stepMs[0], stepMs[0] + " and " + stepMs[1]);
    }

    @Test
    void linksAreSharedEvenlyAndSlowestLinkLimitsTransfer() {
        SharedLinks links = new SharedLinks();
        List<String> completed = new ArrayList<>();
        SharedLinks.Link fast = links.link("fast", 100);
        SharedLinks.Link slow = links.link("slow", 10);
        links.startTransfer(0, 1000, List.of(fast), () -> completed.add("fast"));
        links.startTransfer(0, 100, List.of(fast, slow), () -> completed.add("slow"));
        // A half share of the fast link is 50 tokens per millisecond; the slow link allows 10.
        assertEquals(10, links.nextCompletionMs(), 1e-6);
        links.advance(10);
        assertEquals(List.of("slow"), completed);
        assertEquals(15, links.nextCompletionMs(), 1e-6);
        links.advance(15);
        assertEquals(List.of("slow", "fast"), completed);
    }

    /**
     * For any sequence of attempts, some of them cancelled, all memory is free at the end and every
     * answer that was not cancelled is complete.
     */
    @Property(tries = 60, seed = "20261201")
    void allMemoryIsReleased(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 5000) Integer> promptLengths,
            @ForAll long seed) {
        Random random = new Random(seed);
        EngineDriver driver = new EngineDriver(HARDWARE.withBlocks(400));
        List<Job> answers = new ArrayList<>();
        for (int promptTokens : promptLengths) {
            @SuppressWarnings("EnumOrdinal") // A random one of the three kinds.
            Job.Kind kind = Job.Kind.values()[random.nextInt(3)];
            Job job =
                    driver.submit(
                            kind,
                            prompt(random.nextInt(6), 1 + promptTokens),
                            1 + random.nextInt(60));
            for (int i = random.nextInt(4); i > 0; i--) {
                driver.step();
            }
            if (random.nextInt(5) == 0) {
                driver.model.cancel(job);
            } else if (kind != Job.Kind.READ) {
                answers.add(job);
            }
        }
        driver.run();
        // Held states occupy memory that queued attempts need; once they expire, the rest can run.
        for (int i = 0; i < 50; i++) {
            driver.model.releaseExpiredStates(driver.nowMs + 1e9);
            driver.run();
        }
        answers.forEach(job -> assertEquals(job.answerTokens, job.generatedTokens()));
        driver.model.releaseExpiredStates(driver.nowMs + 1e9);
        assertEquals(0, driver.model.memoryShare());
        assertEquals(0, driver.model.inflight());
    }

    // ------------------------------------------------------------------ load

    /** Means over an open-loop load on one engine. */
    private record LoadResult(
            double requestsPerS,
            double firstTokenMs,
            double tokenMs,
            double meanInFlight,
            double meanResponseMs,
            long evictions) {}

    private static LoadResult runLoad(
            EngineHardware hardware,
            double requestsPerS,
            int promptTokens,
            int answerTokens,
            int prefixCount,
            long seed) {
        Random random = new Random(seed);
        EngineDriver driver = new EngineDriver(hardware);
        PriorityQueue<double[]> arrivals =
                new PriorityQueue<>(Comparator.comparingDouble(a -> a[0]));
        double nextArrivalMs = 0;
        double loadEndMs = 60_000;
        while (nextArrivalMs < loadEndMs) {
            nextArrivalMs += -Math.log(1 - random.nextDouble()) * 1000 / requestsPerS;
            arrivals.add(new double[] {nextArrivalMs, random.nextInt(prefixCount)});
        }
        List<Job> inFlight = new ArrayList<>();
        List<Double> arrivalMs = new ArrayList<>();
        List<Double> firstTokenAtMs = new ArrayList<>();
        double firstTokenSumMs = 0;
        double tokenSumMs = 0;
        double responseSumMs = 0;
        double inFlightSum = 0;
        int completedCount = 0;
        while (!arrivals.isEmpty() || !inFlight.isEmpty()) {
            while (!arrivals.isEmpty() && arrivals.peek()[0] <= driver.nowMs) {
                double[] arrival = arrivals.poll();
                Job job =
                        new Job(
                                "j" + arrival[0],
                                Job.Kind.BOTH,
                                Prompt.of(
                                        new long[] {
                                            (long) arrival[1], (long) (1e6 + arrival[0] * 1000)
                                        },
                                        new int[] {promptTokens / 2, promptTokens / 2},
                                        16),
                                answerTokens);
                if (driver.model.submit(job)) {
                    inFlight.add(job);
                    arrivalMs.add(arrival[0]);
                    firstTokenAtMs.add(0.0);
                }
            }
            double beforeMs = driver.nowMs;
            int inFlightCount = inFlight.size();
            if (!driver.step()) {
                driver.nowMs = arrivals.peek()[0];
            }
            inFlightSum += inFlightCount * (driver.nowMs - beforeMs);
            for (int i = inFlight.size() - 1; i >= 0; i--) {
                if (firstTokenAtMs.get(i) == 0 && inFlight.get(i).generatedTokens() > 0) {
                    firstTokenAtMs.set(i, driver.nowMs);
                }
                if (inFlight.get(i).generatedTokens() >= answerTokens) {
                    firstTokenSumMs += firstTokenAtMs.get(i) - arrivalMs.get(i);
                    tokenSumMs += (driver.nowMs - firstTokenAtMs.get(i)) / (answerTokens - 1);
                    responseSumMs += driver.nowMs - Math.max(arrivalMs.get(i), 0);
                    completedCount++;
                    inFlight.remove(i);
                    arrivalMs.remove(i);
                    firstTokenAtMs.remove(i);
                }
            }
        }
        return new LoadResult(
                completedCount / driver.nowMs * 1000,
                firstTokenSumMs / completedCount,
                tokenSumMs / completedCount,
                inFlightSum / driver.nowMs,
                responseSumMs / completedCount,
                driver.model.totals().evictions());
    }

    @Test
    void throughputSaturatesAndFirstTokenTimeRisesUnderOverload() {
        LoadResult light = runLoad(HARDWARE, 10, 800, 40, 4, 1);
        LoadResult moderate = runLoad(HARDWARE, 30, 800, 40, 4, 1);
        LoadResult overload = runLoad(HARDWARE, 150, 800, 40, 4, 1);
        LoadResult doubleOverload = runLoad(HARDWARE, 300, 800, 40, 4, 1);
        System.out.println(
                "by load (simulated): "
                        + light
                        + "\n"
                        + moderate
                        + "\n"
                        + overload
                        + "\n"
                        + doubleOverload);
        assertEquals(10, light.requestsPerS, 1.5);
        assertEquals(30, moderate.requestsPerS, 3);
        assertTrue(
                doubleOverload.requestsPerS < 1.15 * overload.requestsPerS,
                "throughput keeps growing under overload");
        assertTrue(
                overload.firstTokenMs > 10 * light.firstTokenMs,
                "time to first token does not rise under overload");
    }

    @Test
    void littlesLawHolds() {
        LoadResult moderate = runLoad(HARDWARE, 40, 800, 40, 4, 2);
        assertEquals(
                moderate.meanInFlight,
                moderate.requestsPerS / 1000 * moderate.meanResponseMs,
                0.03 * moderate.meanInFlight);
    }

    @Test
    void evictionsRiseWhenWorkingSetExceedsMemory() {
        long fewPrefixes = runLoad(HARDWARE.withBlocks(4000), 10, 1600, 10, 8, 3).evictions;
        long manyPrefixes = runLoad(HARDWARE.withBlocks(4000), 10, 1600, 10, 400, 3).evictions;
        assertTrue(manyPrefixes > fewPrefixes, fewPrefixes + " and " + manyPrefixes);
    }

    @Test
    void smallerChunksDelayFirstTokens() {
        LoadResult large = runLoad(HARDWARE.withBatchTokens(8192), 8, 8000, 60, 1000, 4);
        LoadResult small = runLoad(HARDWARE.withBatchTokens(256), 8, 8000, 60, 1000, 4);
        System.out.println("chunks of 8192 and 256 (simulated): " + large + "\n" + small);
        assertTrue(small.firstTokenMs > large.firstTokenMs);
    }
}
