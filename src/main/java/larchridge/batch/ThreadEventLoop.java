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
    private static final int MOST_ASIDE = 100_000;
    private static final long CLOSE_MS = 10_000;

    private final ScheduledThreadPoolExecutor thread =
            new ScheduledThreadPoolExecutor(1, work -> daemon(work, "batches"));
    private final ThreadPoolExecutor aside =
            new ThreadPoolExecutor(
                    2,
                    2,
                    1,
                    TimeUnit.SECONDS,
                    new ArrayBlockingQueue<>(MOST_ASIDE),
                    work -> daemon(work, "batch-files"));
    private final double startMs = System.currentTimeMillis();
    private final long startNs = System.nanoTime();

    ThreadEventLoop() {
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    private static Thread daemon(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNs) / 1e6;
    }

    @Override
    public void execute(Runnable step) {
        try {
            thread.execute(() -> guarded(step));
        } catch (RejectedExecutionException e) {
            // It is closing: what comes from fronts now is found as in flight at the next start.
            LOG.debug("a step came after the end");
        }
    }

    @Override
    public void in(double ms, Runnable step) {
        try {
            thread.schedule(
                    () -> guarded(step), (long) Math.max(1, Math.ceil(ms)), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("a timer came after the end");
        }
    }

    /**
     * Guards against: a step that throws would end in a future that nobody reads, and with it all
     * that it was to start.
     */
    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("a step of batch work failed", e);
        }
    }

    @Override
    public <T> void aside(Callable<T> work, BiConsumer<T, Exception> done) {
        aside.execute(
                () -> {
                    try {
                        T got = work.call();
                        execute(() -> done.accept(got, null));
                    } catch (Exception e) {
                        execute(() -> done.accept(null, e));
                    }
                });
    }

    /** Runs a question on the loop and hands its answer out. */
    <T> CompletableFuture<T> ask(Callable<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        try {
            thread.execute(
                    () -> {
                        try {
                            answer.complete(question.call());
                        } catch (Exception e) {
                            answer.completeExceptionally(e);
                        }
                    });
        } catch (RejectedExecutionException e) {
            answer.completeExceptionally(e);
        }
        return answer;
    }

    @Override
    public void close() {
        try {
            aside.shutdownNow();
            aside.awaitTermination(CLOSE_MS, TimeUnit.MILLISECONDS);
            thread.shutdown();
            thread.awaitTermination(CLOSE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
