package larchridge.batch;

import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/**
 * The one thread that owns a store and its batches, as they see it; tests have one in virtual time.
 */
interface EventLoop extends Executor {
    /**
     * Milliseconds since 1970 as they were at the start plus what has passed since: steps of the
     * clock are not seen.
     */
    double nowMs();

    /** Runs a step after a time. */
    void schedule(double delayMs, Runnable task);

    /** Runs long work elsewhere, then tells here what it gave or how it failed. */
    <T> void runBlocking(Callable<T> work, BiConsumer<T, Exception> onDone);
}
