package larchridge.batch;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Delayed;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An event loop on its own thread, with two more threads for blocking work. The queue of the loop
 * is bounded by its producers: the open lines, the API's threads, and one latency sample per router
 * at a time. The queue of blocking work is bounded here.
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
            // The loop is closing. An outcome that a router reports now is lost: the line's attempt
            // is recorded without a result, and the next owner of the store treats the line as one
            // that may have run.
            LOG.debug("ignored a task that was submitted after the event loop had closed");
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
            LOG.debug("ignored a timer that was set after the event loop had closed");
        }
    }

    /**
     * Guards against: the exception of a task that fails would end up in a future that nobody
     * reads, and all that the task was to start would silently be missing.
     */
    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.error("a task on the batch event loop failed", e);
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
                    } catch (Error e) {
                        // Without this, whoever started the work would wait for it for ever.
                        execute(() -> onDone.accept(null, new ExecutionException(e)));
                    }
                });
    }

    /** Runs a task on the loop and returns a future of its result; called on other threads. */
    <T> CompletableFuture<T> call(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            loopExecutor.execute(
                    () -> {
                        try {
                            result.complete(task.call());
                        } catch (Exception | Error e) {
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
            runQueuedTasks();
            loopExecutor.shutdown();
            loopExecutor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Runs the queued tasks and those that they queue in turn; timers that are not due are dropped.
     * Guards against: a task that records an outcome queues the write of it, which would be
     * rejected once the loop is shut down.
     */
    private void runQueuedTasks() throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
        try {
            boolean tasksLeft = true;
            while (tasksLeft) {
                // Runs on the loop's thread, so that no other task is in progress.
                tasksLeft =
                        loopExecutor
                                .submit(this::hasDueTasks)
                                .get(endNs - System.nanoTime(), TimeUnit.NANOSECONDS);
            }
        } catch (TimeoutException e) {
            LOG.error("the batch event loop has not run its tasks in time; closing it");
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean hasDueTasks() {
        return loopExecutor.getQueue().stream()
                .anyMatch(task -> ((Delayed) task).getDelay(TimeUnit.NANOSECONDS) <= 0);
    }
}
