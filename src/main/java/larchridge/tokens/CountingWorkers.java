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
    private final ThreadPoolExecutor threads;
    private final int count;
    private final AtomicLong waitingUs = new AtomicLong();

    public CountingWorkers(int count, int mostWaiting) {
        this.count = count;
        threads =
                new ThreadPoolExecutor(
                        count,
                        count,
                        1,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(mostWaiting),
                        work -> {
                            Thread thread = new Thread(work, "aside");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Takes work that is expected to last so long; false if too much waits. */
    public boolean take(double expectedMs, Runnable work) {
        long us = (long) (expectedMs * 1000);
        waitingUs.addAndGet(us);
        try {
            threads.execute(
                    () -> {
                        try {
                            work.run();
                        } finally {
                            waitingUs.addAndGet(-us);
                        }
                    });
            return true;
        } catch (RejectedExecutionException e) {
            waitingUs.addAndGet(-us);
            return false;
        }
    }

    /** How long what is taken now would wait, by what was expected of the work before it. */
    public double waitMs() {
        return waitingUs.get() / 1000.0 / count;
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
