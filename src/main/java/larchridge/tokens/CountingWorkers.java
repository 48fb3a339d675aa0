package larchridge.tokens;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A few threads for work that would hold up a loop; so much may wait, and what is beyond is not
 * taken.
 */
public final class CountingWorkers implements AutoCloseable {
    private final ThreadPoolExecutor executor;
    private final int threadCount;
    private final AtomicLong pendingUs = new AtomicLong();

    public CountingWorkers(int threadCount, int queueCapacity) {
        this.threadCount = threadCount;
        executor =
                new ThreadPoolExecutor(
                        threadCount,
                        threadCount,
                        1,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(queueCapacity),
                        task -> {
                            Thread thread = new Thread(task, "aside");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Takes work that is expected to last so long; false if too much waits. */
    public boolean trySubmit(double expectedMs, Runnable task) {
        long expectedUs = (long) (expectedMs * 1000);
        pendingUs.addAndGet(expectedUs);
        try {
            executor.execute(
                    () -> {
                        try {
                            task.run();
                        } finally {
                            pendingUs.addAndGet(-expectedUs);
                        }
                    });
            return true;
        } catch (RejectedExecutionException e) {
            pendingUs.addAndGet(-expectedUs);
            return false;
        }
    }

    /** How long what is taken now would wait, by what was expected of the work before it. */
    public double expectedWaitMs() {
        return pendingUs.get() / 1000.0 / threadCount;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
