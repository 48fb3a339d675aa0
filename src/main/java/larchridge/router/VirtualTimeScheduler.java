package larchridge.router;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Virtual time for simulations, tests and the warm-up of a node. Tasks run in the order of their
 * times and, at the same time, in the order in which they were scheduled.
 */
public final class VirtualTimeScheduler {
    /**
     * The Unix time at which the clock starts. Not 0, since a start time of 0 means that an
     * engine's start is unknown.
     */
    public static final double START_MS = 1_000_000_000;

    private static final int ID_RADIX = 36;
    private static final long RANDOM_ID_MASK = 0xFFFFFF;
    private static final int SEED_FACTOR = 31;

    private record ScheduledTask(double atMs, long timer, Runnable action) {}

    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(ScheduledTask::atMs)
                            .thenComparingLong(ScheduledTask::timer));
    private final Set<Long> cancelled = new HashSet<>();
    private double nowMs = START_MS;
    private long lastTimer;
    private long tasksRun;

    /** The current virtual Unix time. */
    public double nowMs() {
        return nowMs;
    }

    /** Milliseconds since the start. */
    public double elapsedMs() {
        return nowMs - START_MS;
    }

    /** Number of tasks that have run. */
    public long tasksRun() {
        return tasksRun;
    }

    /** Runs a task after a delay; returns a timer for {@link #cancel}. */
    public long schedule(double delayMs, Runnable task) {
        tasks.add(new ScheduledTask(nowMs + Math.max(0, delayMs), ++lastTimer, task));
        return lastTimer;
    }

    /** Cancels a task that has not run. */
    public void cancel(long timer) {
        cancelled.add(timer);
    }

    /** Runs all tasks that are due up to this many milliseconds after the start. */
    public void run(double untilMs) {
        while (!tasks.isEmpty() && tasks.peek().atMs <= START_MS + untilMs) {
            ScheduledTask task = tasks.poll();
            nowMs = task.atMs;
            if (cancelled.isEmpty() || !cancelled.remove(task.timer)) {
                tasksRun++;
                task.action.run();
            }
        }
        nowMs = START_MS + untilMs;
    }

    /** Creates the scheduler of one router; the seed determines the ids that it generates. */
    public Scheduler routerScheduler(int router, long seed) {
        return new RouterScheduler(router, new Random(seed * SEED_FACTOR + router));
    }

    /** A router's view of the virtual time, with timers in whole milliseconds. */
    private final class RouterScheduler implements Scheduler {
        private final int router;
        private final Random random;

        RouterScheduler(int router, Random random) {
            this.router = router;
            this.random = random;
        }

        @Override
        public double nowMs() {
            return nowMs;
        }

        @Override
        public long schedule(double delayMs, Runnable task) {
            return VirtualTimeScheduler.this.schedule(Math.max(1, Math.ceil(delayMs)), task);
        }

        @Override
        public void cancel(long timer) {
            VirtualTimeScheduler.this.cancel(timer);
        }

        @Override
        public void execute(Runnable task) {
            VirtualTimeScheduler.this.schedule(0, task);
        }

        @Override
        public void scheduleAtFixedDelay(double delayMs, Runnable task) {
            VirtualTimeScheduler.this.schedule(
                    delayMs,
                    () -> {
                        task.run();
                        scheduleAtFixedDelay(delayMs, task);
                    });
        }

        @Override
        public String uniqueIdPrefix() {
            return "f" + router + Long.toString(random.nextLong() & RANDOM_ID_MASK, ID_RADIX) + "-";
        }
    }
}
