package larchridge.batch;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The loop as a thread, with two threads aside. What waits for it is bounded by those that hand it
 * over: the lines that are open, the API's threads, one look at each front at a time. What waits to
 * run aside is bounded here.
 */
final class ThreadEventLoop implements EventLoop, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ThreadEventLoop.class);
    private static final int MAX_QUEUED_BLOCKING_TASKS = 100_000;
    private static final long CLOSE_TIMEOUT_MS = 10_000;

    private final ScheduledThreadPoolExecutor loopExecutor =
            new ScheduledThreadPoolExecutor(1, work -> daemonThread(work, "batches"));
    private final ThreadPoolExecutor blockingExecutor =
            new ThreadPoolExecutor(
                    2,
                    2,
                    1,
                    TimeUnit.SECONDS,
                    new ArrayBlockingQueue<>(MAX_QUEUED_BLOCKING_TASKS),
                    work -> daemonThread(work, "batch-files"));
    private final double startMs = System.currentTimeMillis();
    private final long startNs = System.nanoTime();

    ThreadEventLoop() {
        loopExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    private static Thread daemonThread(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNs) / 1e6;
    }

    @Override
    public void execute(Runnable task) {
        try {
            loopExecutor.execute(() -> runAndLogFailure(task));
        } catch (RejectedExecutionException e) {
            // It is closing: what comes from fronts now is found as in flight at the next start.
            LOG.debug("a step came after the end");
        }
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        try {
            loopExecutor.schedule(
                    () -> runAndLogFailure(task),
                    (long) Math.max(1, Math.ceil(delayMs)),
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("a timer came after the end");
        }
    }

    /**
     * Guards against: a step that throws would end in a future that nobody reads, and with it all
     * that it was to start.
     */
    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a step of batch work failed", e);
        }
    }

    @Override
    public <T> void runBlocking(Callable<T> work, BiConsumer<T, Exception> onDone) {
        blockingExecutor.execute(
                () -> {
                    try {
                        T result = work.call();
                        execute(() -> onDone.accept(result, null));
                    } catch (Exception e) {
                        execute(() -> onDone.accept(null, e));
                    }
                });
    }

    /** Runs a question on the loop and hands its answer out. */
    <T> CompletableFuture<T> call(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            loopExecutor.execute(
                    () -> {
                        try {
                            result.complete(task.call());
                        } catch (Exception e) {
                            result.completeExceptionally(e);
                        }
                    });
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(e);
        }
        return result;
    }

    @Override
    public void close() {
        try {
            blockingExecutor.shutdownNow();
            blockingExecutor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            loopExecutor.shutdown();
            loopExecutor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
