package larchridge.router;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Virtual time: steps run in the order of their times and, in one moment, in the order in which
 * they were asked for.
 */
public final class VirtualTimeScheduler {
    /**
     * The moment at which it begins, as Unix time: engines that start at 0 are those whose start
     * nobody knows.
     */
    public static final double START_MS = 1_000_000_000;

    private record Step(double ms, long number, Runnable run) {}

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Step::ms).thenComparingLong(Step::number));
    private final Set<Long> called = new HashSet<>();
    private double nowMs = START_MS;
    private long numbers;
    private long stepsRun;

    public double nowMs() {
        return nowMs;
    }

    /** Milliseconds since the beginning. */
    public double sinceMs() {
        return nowMs - START_MS;
    }

    public long stepsRun() {
        return stepsRun;
    }

    public long schedule(double ms, Runnable run) {
        steps.add(new Step(nowMs + Math.max(0, ms), ++numbers, run));
        return numbers;
    }

    /** Calls a step off that has not run. */
    public void cancel(long number) {
        called.add(number);
    }

    /** Runs until so many milliseconds since the beginning. */
    public void run(double untilMs) {
        while (!steps.isEmpty() && steps.peek().ms <= START_MS + untilMs) {
            Step step = steps.poll();
            nowMs = step.ms;
            if (called.isEmpty() || !called.remove(step.number)) {
                stepsRun++;
                step.run.run();
            }
        }
        nowMs = START_MS + untilMs;
    }

    /** What one front stands on. */
    public Scheduler schedulerOf(int front, long seed) {
        Random random = new Random(seed * 31 + front);
        return new Scheduler() {
            @Override
            public double nowMs() {
                return nowMs;
            }

            @Override
            public long schedule(double ms, Runnable step) {
                return VirtualTimeScheduler.this.schedule(Math.max(1, Math.ceil(ms)), step);
            }

            @Override
            public void cancel(long number) {
                VirtualTimeScheduler.this.cancel(number);
            }

            @Override
            public void execute(Runnable step) {
                VirtualTimeScheduler.this.schedule(0, step);
            }

            @Override
            public void scheduleAtFixedDelay(double ms, Runnable step) {
                VirtualTimeScheduler.this.schedule(
                        ms,
                        () -> {
                            step.run();
                            scheduleAtFixedDelay(ms, step);
                        });
            }

            @Override
            public String uniqueIdPrefix() {
                return "f" + front + Long.toString(random.nextLong() & 0xFFFFFF, 36) + "-";
            }
        };
    }
}
