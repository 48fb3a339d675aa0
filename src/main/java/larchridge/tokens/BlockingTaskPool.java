package larchridge.tokens;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fixed pool of threads for tasks that would block an event loop, such as counting tokens or
 * parsing a long request body. Its queue is bounded; tasks that find it full are rejected.
 */
public final class BlockingTaskPool implements AutoCloseable {
    private final ThreadPoolExecutor executor;
    private final int threadCount;
    private final AtomicLong pendingUs = new AtomicLong();

    /** Creates a pool; its threads start as tasks arrive. */
    public BlockingTaskPool(int threadCount, int queueCapacity) {
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

    /**
     * Submits a task.
     *
     * @param expectedMs expected run time of the task, used for {@link #expectedWaitMs}
     * @return false if the queue is full
     */
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

    /** Expected wait of a task submitted now, from the expected run times of unfinished tasks. */
    public double expectedWaitMs() {
        return pendingUs.get() / 1000.0 / threadCount;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
